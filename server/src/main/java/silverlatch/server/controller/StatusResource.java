package silverlatch.server.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaStatus;
import silverlatch.replication.View;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.web.HttpExchange;

/** Liveness, readiness and the cluster's status as this controller knows it ({@code /live, /ready, /status}). */
final class StatusResource {
    /** The deprecated key of the members, which is written in addition to the current key for one version. */
    private static final String DEPRECATED_MEMBERS_KEY = "crew";

    private final String name;
    private final EventLoopHandle eventLoop;
    private final Supplier<Optional<String>> unreadyReason;

    /**
     * Creates the resource.
     *
     * @param unreadyReason why the controller isn't ready, empty while it is; read by any thread
     */
    StatusResource(final String name, final EventLoopHandle eventLoop, final Supplier<Optional<String>> unreadyReason) {
        this.name = name;
        this.eventLoop = eventLoop;
        this.unreadyReason = unreadyReason;
    }

    /** Replies that the process is alive. */
    void live(final HttpExchange exchange) {
        exchange.reply(ApiReplies.OK, Map.of("live", true));
    }

    /** Replies whether the controller accepts writes and, if not, why. */
    void ready(final HttpExchange exchange) {
        final Optional<String> reason = unreadyReason.get();
        exchange.reply(
                reason.isEmpty() ? ApiReplies.OK : ApiReplies.SERVICE_UNAVAILABLE,
                Map.of("ready", reason.isEmpty(), "why", reason.orElse("")));
    }

    /** Replies with the node's view of the chain, the membership and the workers; never replies if the event loop's queue is full. */
    void status(final HttpExchange exchange) {
        eventLoop.execute(node -> exchange.reply(ApiReplies.OK, body(node)));
    }

    private Map<String, Object> body(final Node node) {
        final Map<String, Object> body = new TreeMap<>();
        body.put("name", name);
        body.put("ready", unreadyReason.get().isEmpty());
        body.put("why", unreadyReason.get().orElse(""));
        putView(body, node.view());
        node.chainReplica().ifPresent(replica -> putReplica(body, replica.status(EventLoop.nowMicros())));
        body.put("table", node.gossip().stateMachine().policyRevision());
        body.put("stamp", "" + node.processClock().last().bits());
        final List<String> members = members(node);
        body.put("members", members);
        body.put(DEPRECATED_MEMBERS_KEY, members);
        body.put("workers", workers(node));
        return body;
    }

    private static void putView(final Map<String, Object> body, final View view) {
        body.put("fleet", Long.toHexString(view.fleet()));
        body.put("view", view.number());
        body.put("holder", view.singletonOwner());
        body.put(
                "voters",
                view.voters().stream()
                        .map(voter -> voter.id() + " " + voter.address())
                        .toList());
        body.put("chain", view.chain().stream().map(Replica::address).toList());
    }

    private static void putReplica(final Map<String, Object> body, final ReplicaStatus replica) {
        body.put("state", replica.state().label());
        body.put("level", replica.isCaughtUp());
        body.put("leased", replica.isLeased());
        body.put("sequence", replica.sequence());
        body.put("pending", replica.pendingEntries());
    }

    private static List<String> members(final Node node) {
        return node.membership().all().stream().map(StatusResource::format).toList();
    }

    private static List<String> workers(final Node node) {
        return node.gossip().workers().values().stream()
                .map(observed -> format(observed.worker()))
                .sorted()
                .toList();
    }

    private static String format(final Member member) {
        return member.id() + " " + member.role() + " " + member.zone() + " " + member.region() + " "
                + member.httpAddress() + " " + member.state() + (member.ready() ? " ready" : "");
    }

    private static String format(final Worker worker) {
        return worker.id() + " " + worker.zone() + " running " + worker.running() + "/" + worker.slots()
                + (worker.draining() ? " leaving" : "");
    }
}
