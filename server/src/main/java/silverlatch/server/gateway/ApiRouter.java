package silverlatch.server.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.PlacementRequest;
import silverlatch.dispatch.SubmittedRequest;
import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;
import silverlatch.server.web.AnnouncementJson;
import silverlatch.server.web.HttpExchange;
import silverlatch.util.Digests;

/**
 * Serves the gateway's own HTTP API (docs/api.md): placements, requests and their streams for clients, announcements of workers,
 * and health checks. Called on the HTTP server's threads. A call doesn't block until an event loop has handled it: the reply is
 * sent asynchronously once the loop has decided.
 */
final class ApiRouter {
    private static final String REQUESTS = "/v1/tickets/";
    private static final String EXPLANATIONS = "/v1/explain/";
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_PREFIX_DIGESTS = 64;
    private static final int MAX_DIGEST_LENGTH = 128;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 128;
    private static final int MAX_PERMIT_LENGTH = 4096;
    private static final int MAX_PREVIOUS_ATTEMPTS = 1_000;
    private static final long MAX_TIMEOUT_MS = 3_600_000;
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final long MICROS_PER_MILLI = 1_000L;
    private final Settings settings;
    private final DispatchLoop dispatchLoop;
    private final EventLoopHandle nodeLoop;
    private final PendingExchanges exchanges;
    private final OperatorApi operatorApi;
    private final Supplier<Optional<String>> unreadyReason;
    private final Consumer<Node> onWorkerAnnounced;

    /**
     * Creates a router over these components.
     *
     * @param onWorkerAnnounced called on the node's event loop after each accepted announcement of a worker
     */
    ApiRouter(
            final Settings settings,
            final DispatchLoop dispatchLoop,
            final EventLoopHandle nodeLoop,
            final PendingExchanges exchanges,
            final OperatorApi operatorApi,
            final Supplier<Optional<String>> unreadyReason,
            final Consumer<Node> onWorkerAnnounced) {
        this.settings = settings;
        this.dispatchLoop = dispatchLoop;
        this.nodeLoop = nodeLoop;
        this.exchanges = exchanges;
        this.operatorApi = operatorApi;
        this.unreadyReason = unreadyReason;
        this.onWorkerAnnounced = onWorkerAnnounced;
    }

    /** Serves a call; every call gets exactly one reply. */
    void handle(final HttpExchange exchange) {
        final String operation = exchange.method() + " " + exchange.path();
        switch (operation) {
            case "POST /v1/picks" -> requestPlacement(exchange);
            case "POST /v1/tickets" -> submitRequest(exchange);
            case "POST /v1/announcements" -> announceWorker(exchange);
            case "GET /live" -> exchange.reply(200, Map.of("live", true));
            case "GET /ready" -> replyReadiness(exchange);
            case "GET /status" -> operatorApi.status(exchange);
            case "GET /metrics" -> operatorApi.metrics(exchange);
            default -> {
                if (operation.startsWith("GET " + REQUESTS)) {
                    attach(exchange, exchange.path().substring(REQUESTS.length()));
                } else if (operation.startsWith("GET " + EXPLANATIONS)) {
                    operatorApi.explain(exchange, exchange.path().substring(EXPLANATIONS.length()));
                } else {
                    ApiReplies.reject(exchange, 404, List.of("$: no such page"));
                }
            }
        }
    }

    private void replyReadiness(final HttpExchange exchange) {
        final Optional<String> reason = unreadyReason.get();
        exchange.reply(reason.isEmpty() ? 200 : 503, Map.of("ready", reason.isEmpty(), "why", reason.orElse("")));
    }

    private void requestPlacement(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final PlacementRequest placement = new PlacementRequest(
                    exchange.bearerToken(),
                    document.string("tenant", MAX_NAME_LENGTH),
                    document.string("kind", MAX_NAME_LENGTH),
                    document.strings("prefix", MAX_PREFIX_DIGESTS, MAX_DIGEST_LENGTH),
                    document.integer("size", 0, Integer.MAX_VALUE, 0),
                    document.string("key", MAX_IDEMPOTENCY_KEY_LENGTH, ""),
                    (int) document.integer("tries", 0, MAX_PREVIOUS_ATTEMPTS, 0));
            if (isValid(exchange, document)) {
                dispatch(
                        exchange,
                        (dispatcher, callId) -> dispatcher.requestPlacement(placement, callId, EventLoop.nowMicros()));
            }
        });
    }

    private void submitRequest(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final SubmittedRequest submitted = new SubmittedRequest(
                    exchange.bearerToken(),
                    document.string("permit", MAX_PERMIT_LENGTH),
                    document.strings("prefix", MAX_PREFIX_DIGESTS, MAX_DIGEST_LENGTH),
                    document.string("prompt", settings.maxBodyBytes()),
                    document.integer("expiryMs", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS) * MICROS_PER_MILLI);
            if (isValid(exchange, document)) {
                dispatch(exchange, (dispatcher, callId) -> dispatcher.submit(submitted, callId, EventLoop.nowMicros()));
            }
        });
    }

    /**
     * Attaches the client to the stream of a request that runs at this gateway, starting with the chunk whose index is the query
     * parameter {@code from}.
     */
    private void attach(final HttpExchange exchange, final String requestId) {
        final String firstIndex = exchange.queryParameter("from").orElse("0");
        if (!firstIndex.matches("\\d{1,9}")) {
            ApiReplies.reject(exchange, 400, List.of("from: a piece's number is needed"));
            return;
        }
        final String secret = exchange.bearerToken();
        dispatch(
                exchange,
                (dispatcher, callId) -> dispatcher.attach(
                        requestId, secret, Long.parseLong(firstIndex), callId, EventLoop.nowMicros()));
    }

    private void announceWorker(final HttpExchange exchange) {
        if (!Digests.constantTimeEquals(exchange.bearerToken(), settings.workerKey())) {
            ApiReplies.reject(exchange, 401, List.of("the workers' key is needed"));
            return;
        }
        parseBody(exchange).ifPresent(document -> {
            final Worker worker = AnnouncementJson.read(document);
            final long echo = AnnouncementJson.echo(document);
            if (isValid(exchange, document)
                    && !nodeLoop.execute(node -> announceOnLoop(node, exchange, worker, echo))) {
                ApiReplies.rejectAsOverloaded(exchange);
            }
        });
    }

    private void announceOnLoop(final Node node, final HttpExchange exchange, final Worker worker, final long echo) {
        final long nextEcho = node.onAnnouncement(worker, echo, EventLoop.nowMicros());
        final long revision = node.gossip().stateMachine().policyRevision();
        exchange.reply(200, Map.of("echo", nextEcho, "table", revision));
        onWorkerAnnounced.accept(node);
    }

    /** Runs a task on the dispatch loop with a new call id; the dispatcher's effects with that id become the reply. */
    private void dispatch(final HttpExchange exchange, final ObjLongConsumer<Dispatcher> task) {
        final long callId = exchanges.add(
                exchange,
                disconnectedCall -> dispatchLoop.withDispatcher(
                        dispatcher -> dispatcher.onReaderDisconnected(disconnectedCall, EventLoop.nowMicros())));
        if (!dispatchLoop.withDispatcher(dispatcher -> task.accept(dispatcher, callId))) {
            exchanges.remove(callId);
            ApiReplies.rejectAsOverloaded(exchange);
        }
    }

    private Optional<JsonDocument> parseBody(final HttpExchange exchange) {
        return switch (JsonDocument.parse(exchange.body(), settings.maxBodyBytes())) {
            case JsonDocument.ParseResult.Invalid invalid -> {
                ApiReplies.reject(exchange, invalid.code(), List.of(invalid.reason()));
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid valid -> Optional.of(valid.document());
        };
    }

    /** Returns whether the document has no validation errors; otherwise rejects the call with all of them. */
    private static boolean isValid(final HttpExchange exchange, final JsonDocument document) {
        final List<String> faults = document.finish();
        if (!faults.isEmpty()) {
            ApiReplies.reject(exchange, 422, faults);
        }
        return faults.isEmpty();
    }
}
