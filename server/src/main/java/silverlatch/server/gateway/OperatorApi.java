package silverlatch.server.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import silverlatch.clock.ProcessClock;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.HttpExchange;

/**
 * What operators see of a gateway: its status and the trace of a request, both with the operator's key, and metrics without one.
 * Called on the HTTP server's threads; each page is made on the event loop that owns what it shows.
 */
final class OperatorApi {
    private static final long MICROS_PER_MILLI = 1_000L;
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

    /** Replies with the trace of a request, or 404 if this gateway has none. */
    void explain(final HttpExchange exchange, final String requestId) {
        if (isOperator(exchange)) {
            dispatchLoop.withBoth((dispatcher, router) -> dispatcher
                    .traces()
                    .get(requestId)
                    .or(() -> router.traces().get(requestId))
                    .ifPresentOrElse(
                            trace -> exchange.reply(200, RequestTraceJson.write(trace)),
                            () -> ApiReplies.reject(exchange, 404, List.of("no such ticket here"))));
        }
    }

    /** Replies with what this gateway knows of the cluster. */
    void status(final HttpExchange exchange) {
        if (isOperator(exchange)) {
            nodeLoop.execute(node -> exchange.reply(200, status(node, EventLoop.nowMicros())));
        }
    }

    /** Replies with all counters and gauges as text, one a line. */
    void metrics(final HttpExchange exchange) {
        dispatchLoop.withBoth((dispatcher, router) -> {
            final Map<String, Object> values = new TreeMap<>();
            addDispatchMetrics(values, dispatcher, router);
            nodeLoop.execute(node -> {
                addNodeMetrics(values, node);
                exchange.replyText(text(values));
            });
        });
    }

    private boolean isOperator(final HttpExchange exchange) {
        final boolean authorized = PermitSigner.constantTimeEquals(exchange.bearerToken(), settings.operatorKey());
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
        body.put(
                "crew",
                node.membership().all().stream().map(OperatorApi::describe).toList());
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

    private static void addDispatchMetrics(
            final Map<String, Object> values, final Dispatcher dispatcher, final Router router) {
        dispatcher.counters().forEach((name, count) -> values.put("carry_" + name, count));
        values.put("carry_open", dispatcher.openRequests());
        router.counters().forEach((name, count) -> values.put("passage_" + name, count));
        values.put("passage_open", router.openRequests());
        values.put("passage_charter", router.configurationNumber());
    }

    private void addNodeMetrics(final Map<String, Object> values, final Node node) {
        final ProcessClock.Counts clock = node.processClock().counts();
        values.put("tide_waits", clock.waits());
        values.put("tide_carries", clock.overflows());
        values.put("tide_far", clock.tooFarAhead());
        values.put("tide_dropped", clock.dropped());
        node.counters().forEach((name, count) -> values.put("deck_" + name, count));
        values.put("wire_bad", transport.bad());
        values.put("wire_dropped", transport.droppedFrames());
        values.put(
                "ring_full", dispatchLoop.rejectedTasks() + nodeLoop.eventLoop().rejectedTasks());
    }

    private static String text(final Map<String, Object> values) {
        return values.entrySet().stream()
                .map(metric -> "silverlatch_" + metric.getKey() + " " + metric.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
