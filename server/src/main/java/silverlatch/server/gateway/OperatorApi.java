package silverlatch.server.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import silverlatch.dispatch.Dispatcher;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.metrics.MetricsPage;
import silverlatch.server.metrics.NodeMetrics;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.HttpExchange;
import silverlatch.util.Digests;

/**
 * Serves the gateway's pages for operators: its status and the trace of a request, which require the operator's key, and its
 * metrics, which require no key. Called on the HTTP server's threads; each page is created on the event loops that own its data.
 */
final class OperatorApi {
    private static final long MICROS_PER_MILLI = 1_000L;

    /** The former JSON key of the members, which is reported in addition to the current one for one version. */
    private static final String FORMER_MEMBERS_KEY = "crew";

    private final Settings settings;
    private final DispatchLoop dispatchLoop;
    private final EventLoopHandle nodeLoop;
    private final Transport transport;
    private final Supplier<Optional<String>> unreadyReason;

    OperatorApi(
            final Settings settings,
            final DispatchLoop dispatchLoop,
            final EventLoopHandle nodeLoop,
            final Transport transport,
            final Supplier<Optional<String>> unreadyReason) {
        this.settings = settings;
        this.dispatchLoop = dispatchLoop;
        this.nodeLoop = nodeLoop;
        this.transport = transport;
        this.unreadyReason = unreadyReason;
    }

    /** Replies with the trace of a request, or with 404 if this gateway has none. */
    void explain(final HttpExchange exchange, final String requestId) {
        if (isOperator(exchange)) {
            dispatchLoop.withBoth((dispatcher, router) -> dispatcher
                    .traces()
                    .get(requestId)
                    .or(() -> router.traces().get(requestId))
                    .ifPresentOrElse(
                            trace -> exchange.reply(200, RequestTraceJson.write(trace)),
                            () -> ApiReplies.reject(exchange, 404, List.of("no such request here"))));
        }
    }

    /** Replies with this gateway's readiness and its view of the cluster: configuration, chain, members and workers. */
    void status(final HttpExchange exchange) {
        if (isOperator(exchange)) {
            nodeLoop.execute(node -> exchange.reply(200, status(node, EventLoop.nowMicros())));
        }
    }

    /** Replies with all counters and gauges as text, one per line. */
    void metrics(final HttpExchange exchange) {
        dispatchLoop.withBoth((dispatcher, router) -> {
            final MetricsPage page = new MetricsPage();
            addDispatchMetrics(page, dispatcher, router);
            nodeLoop.execute(node -> {
                addNodeMetrics(page, node);
                exchange.replyText(page.text());
            });
        });
    }

    private boolean isOperator(final HttpExchange exchange) {
        final boolean authorized = Digests.constantTimeEquals(exchange.bearerToken(), settings.operatorKey());
        if (!authorized) {
            ApiReplies.reject(exchange, 401, List.of("the operator's key is needed"));
        }
        return authorized;
    }

    private Map<String, Object> status(final Node node, final long now) {
        final Optional<String> reason = unreadyReason.get();
        final Gossip gossip = node.gossip();
        final Map<String, Object> body = new TreeMap<>();
        body.put("name", settings.name());
        body.put("ready", reason.isEmpty());
        body.put("why", reason.orElse(""));
        body.put("table", gossip.stateMachine().policyRevision());
        body.put("tableAgeMs", gossip.stateAge(now) == Long.MAX_VALUE ? -1 : gossip.stateAge(now) / MICROS_PER_MILLI);
        body.put("stamp", "" + node.processClock().last().bits());
        body.put("wallJumps", node.physicalClock().jumps());
        body.put("view", node.view().number());
        body.put("chain", node.view().chain().stream().map(Replica::address).toList());
        final List<String> members =
                node.membership().all().stream().map(OperatorApi::describe).toList();
        body.put("members", members);
        body.put(FORMER_MEMBERS_KEY, members);
        body.put(
                "workers",
                gossip.workers().values().stream()
                        .map(observed -> describe(observed, now))
                        .sorted()
                        .toList());
        return body;
    }

    private static String describe(final Member member) {
        return member.id() + " " + member.role() + " " + member.zone() + " " + member.state()
                + (member.ready() ? " ready" : "");
    }

    private static String describe(final Gossip.ObservedWorker observed, final long now) {
        final long age = observed.age(now);
        return observed.worker().id() + " " + observed.worker().zone() + " running "
                + observed.worker().running() + "/" + observed.worker().slots()
                + (observed.worker().draining() ? " leaving" : "") + " age "
                + (age == Long.MAX_VALUE ? "unknown" : age / MICROS_PER_MILLI + " ms");
    }

    private static void addDispatchMetrics(final MetricsPage page, final Dispatcher dispatcher, final Router router) {
        page.putAll("dispatch_", "carry_", dispatcher.counters());
        page.put("dispatch_open", "carry_open", dispatcher.openRequests());
        page.putAll("routing_", "passage_", router.counters());
        page.put("routing_open", "passage_open", router.openRequests());
        page.put("routing_configuration", "passage_charter", router.configurationNumber());
    }

    private void addNodeMetrics(final MetricsPage page, final Node node) {
        NodeMetrics.add(page, node, transport);
        page.put(
                "event_loop_rejected",
                "ring_full",
                dispatchLoop.rejectedTasks() + nodeLoop.eventLoop().rejectedTasks());
    }
}
