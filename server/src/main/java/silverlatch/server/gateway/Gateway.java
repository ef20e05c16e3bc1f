package silverlatch.server.gateway;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.PlacementRequest;
import silverlatch.dispatch.StreamRecord;
import silverlatch.dispatch.SubmittedRequest;
import silverlatch.dispatch.TraceLog;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.placement.ScorerResult;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.proxy.ProxyHeaderNames;
import silverlatch.server.proxy.ProxyServer;
import silverlatch.server.proxy.WorkerHttpClient;
import silverlatch.server.replay.Recorder;
import silverlatch.server.replay.RecordingFormat;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.AnnouncementJson;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.HttpExchange;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.server.workerclient.StreamRecordDecoder;
import silverlatch.server.workerclient.WorkerRunClient;
import silverlatch.state.CommandResult;

/** The data plane's process: picks, carries and gossips. */
@Singleton
public final class Gateway implements WorkerRunClient.Listener {
    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final long MAX_LINGER_MICROS = 2_500_000L;
    private static final int PROXY_THREADS = 16;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long IDLE_TIMEOUT_MS = 60_000L;
    private final Settings settings;
    private final Node deck;
    private final Dispatcher dispatcher;
    private final Transport transport;
    private Optional<ApiServer> apiServer = Optional.empty();
    private boolean workerClientStarted;
    private final WorkerRunClient workerClient;
    private final EventLoopHandle nodeLoop;
    private final Optional<Recorder> recorder;
    private final EventLoop dispatchLoop;
    private final Map<Long, HttpExchange> exchangesByCallId = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();
    private final Router router;
    private volatile Optional<ProxyServer> proxy = Optional.empty();
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private volatile List<Member> readyGateways = List.of();

    /** Joins the parts. */
    @Inject
    public Gateway(final Settings settings, final Node node, final Dispatcher dispatcher, final Router router) {
        this.settings = settings;
        this.deck = node;
        this.dispatcher = dispatcher;
        this.router = router;
        this.dispatchLoop = new EventLoop("carry", 16_384, settings.intervals().dispatchTick(), this::tick);
        this.transport = new Transport(settings.peerAddress(), this::handleFrame);
        this.nodeLoop =
                new EventLoopHandle(node, settings.intervals().nodeTick(), transport::send, k -> {}, this::publish);
        this.workerClient = new WorkerRunClient(settings.maxLineBytes(), settings.workerKey(), this);
        this.recorder = settings.recordFolder().map(Recorder::new);
    }

    /** Starts the duties and opens the door for picks. */
    public void start() throws IOException, ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientException {
        apiServer = Optional.of(new ApiServer(settings.httpAddress(), settings.maxBodyBytes(), this::handle));
        begin();
        apiServer.get().start();
        if (settings.proxyAddress().isPresent()) {
            final WorkerHttpClient workerHttpClient = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT);
            workerHttpClient.start();
            final MultiListenerServer httpServer = new MultiListenerServer(PROXY_THREADS);
            final ProxyServer server = proxy(ProxyHeaderNames.DEFAULT, workerHttpClient);
            server.listener(
                    httpServer.addListener(settings.proxyAddress().get(), MAX_HEADER_BYTES, IDLE_TIMEOUT_MS, server));
            httpServer.start();
        }
    }

    /** Starts the duties; whoever calls opens the doors. */
    public void begin() throws IOException {
        recorder.ifPresent(Recorder::start);
        transport.start();
        nodeLoop.start();
        dispatchLoop.start();
        EventLog.write(
                Event.STARTED,
                "gateway " + settings.name() + " at " + settings.peerAddress() + " door " + settings.httpAddress());
    }

    /** Stops in good order: unready at once, streams go on within the grace, what is left is told to be lost. */
    public void stop() {
        try {
            dispatchLoop.post(dispatcher::stopAccepting);
            dispatchLoop.post(router::startDraining);
            proxy.ifPresent(ProxyServer::close);
            nodeLoop.execute(node -> node.setReady(false));
            final long deadline = EventLoop.nowMicros() + settings.shutdownGrace();
            TimeUnit.MICROSECONDS.sleep(
                    proxy.isEmpty() ? 200_000L : Math.min(MAX_LINGER_MICROS, settings.shutdownGrace() / 3));
            dispatchLoop.post(router::stopAccepting);
            while (EventLoop.nowMicros() < deadline
                    && dispatcher.openRequests()
                                    + proxy.map(ProxyServer::openRequests).orElse(0)
                            > 0) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            post(() -> dispatcher.shutdown(EventLoop.nowMicros()));
            post(() -> router.shutdown(EventLoop.nowMicros()));
            nodeLoop.execute(node -> node.leave(EventLoop.nowMicros()));
            TimeUnit.MILLISECONDS.sleep(150);
            EventLog.write(Event.STOPPED, "gateway " + settings.name());
            if (apiServer.isPresent()) {
                apiServer.get().stop();
            }
        } catch (final InterruptedException | ApiServer.HttpServerException e) {
            EventLog.write(Event.STOPPED, "gateway " + settings.name() + " in haste");
        }
    }

    @Override
    public void onStarted(final long operationId) {
        post(() -> dispatcher.attemptStarted(operationId));
    }

    @Override
    public void onRecord(final long operationId, final StreamRecord record) {
        post(() -> dispatcher.recordReceived(operationId, record, EventLoop.nowMicros()));
    }

    @Override
    public void onEnded(final long operationId, final boolean started, final String reason) {
        post(() -> dispatcher.attemptFailed(operationId, started, reason, EventLoop.nowMicros()));
    }

    private void handleFrame(final silverlatch.wire.Frame frame) {
        nodeLoop.execute(node -> node.onFrame(frame, EventLoop.nowMicros()));
    }

    /** Makes the gate for tickets that come by host and path; where there is one it decides when this gateway is ready. */
    public ProxyServer proxy(final ProxyHeaderNames headerNames, final WorkerHttpClient workerHttpClient) {
        final ProxyServer server =
                new ProxyServer(headerNames, workerHttpClient, event -> post(() -> event.accept(router)));
        proxy = Optional.of(server);
        return server;
    }

    /** Takes the seeds that hold from now on. */
    public void setSeeds(final List<String> seeds) {
        nodeLoop.execute(node -> node.membership().setSeeds(seeds));
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unreadyReason() {
        return unreadyReason;
    }

    /** The gateways that take tickets as far as is known here, this one among them. */
    public List<Member> readyGateways() {
        return readyGateways;
    }

    private void publish(final Node node) {
        final ClusterSnapshot snapshot = node.facts();
        readyGateways = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(snapshot.self()), snapshot.peers().stream())
                .filter(Member::ready)
                .toList();
        post(() -> {
            dispatcher.update(snapshot, EventLoop.nowMicros());
            router.update(snapshot, EventLoop.nowMicros());
            proxy.ifPresent(server -> router.limits().ifPresent(server::limits));
        });
    }

    private boolean post(final Runnable task) {
        return dispatchLoop.post(() -> {
            task.run();
            applyActions();
        });
    }

    private void tick() {
        dispatcher.tick(EventLoop.nowMicros());
        router.tick(EventLoop.nowMicros());
        applyActions();
        final Optional<String> reason =
                proxy.isEmpty() ? dispatcher.unreadyReason(EventLoop.nowMicros()) : router.unreadyReason();
        if (reason.isPresent() != unreadyReason.isPresent()) {
            EventLog.write(
                    reason.isPresent() ? Event.UNREADY : Event.READY,
                    settings.name() + reason.map(text -> ": " + text).orElse(""));
            nodeLoop.execute(node -> node.setReady(reason.isEmpty()));
        }
        unreadyReason = reason;
    }

    private void applyActions() {
        proxy.ifPresent(g -> router.drainEffects().forEach(g::apply));
        for (final DispatchEffect a : dispatcher.drainEffects()) {
            switch (a) {
                case DispatchEffect.Placed p ->
                    withExchange(
                            p.callId(),
                            c -> c.reply(
                                    200,
                                    Map.of(
                                            "outcome",
                                            "picked",
                                            "ticket",
                                            p.requestId(),
                                            "carrier",
                                            p.gateway(),
                                            "permit",
                                            p.permit(),
                                            "worker",
                                            p.worker(),
                                            "table",
                                            p.revision(),
                                            "stamp",
                                            "" + p.timestamp())));
                case DispatchEffect.Redirected p ->
                    withExchange(p.callId(), c -> c.reply(200, Map.of("outcome", "pointed", "doors", p.endpoints())));
                case DispatchEffect.Rejected r ->
                    withExchange(
                            r.callId(),
                            c -> reject(c, r.statusCode(), r.requestId(), r.reason(), r.retryAfter(), r.claimState()));
                case DispatchEffect.StreamWrite f -> streamRecords(f);
                case DispatchEffect.StartAttempt r -> startRun(r);
                case DispatchEffect.CancelAttempt c -> workerClient.cancel(c.operationId());
                case DispatchEffect.SubmitCommand c ->
                    nodeLoop.submit(
                            c.command(),
                            c.timeout(),
                            v -> post(() -> dispatcher.claimDecided(
                                    c.operationId(), (CommandResult) v, EventLoop.nowMicros())));
                case DispatchEffect.PlacementDecided j -> recorder.ifPresent(b -> b.write(RecordingFormat.write(j)));
                case DispatchEffect.RequestEnded e -> recorder.ifPresent(b -> b.write(RecordingFormat.write(e)));
                case DispatchEffect.Log l -> EventLog.write(l.event(), l.text());
            }
        }
    }

    private void startRun(final DispatchEffect.StartAttempt run) {
        try {
            if (!workerClientStarted) {
                workerClient.start();
                workerClientStarted = true;
            }
            workerClient.startRun(run);
        } catch (final WorkerRunClient.WorkerRunClientException e) {
            EventLog.write(Event.FAULT, "no run can be sent", e);
            post(() -> dispatcher.attemptFailed(run.operationId(), false, "no client", EventLoop.nowMicros()));
        }
    }

    private void withExchange(final long callId, final java.util.function.Consumer<HttpExchange> task) {
        Optional.ofNullable(exchangesByCallId.remove(callId)).ifPresent(task);
    }

    private void streamRecords(final DispatchEffect.StreamWrite flow) {
        final Optional<HttpExchange> exchange = Optional.ofNullable(
                flow.endOfStream() ? exchangesByCallId.remove(flow.callId()) : exchangesByCallId.get(flow.callId()));
        exchange.ifPresent(c -> c.writeLines(
                flow.records().stream().map(StreamRecordDecoder::encode).collect(Collectors.joining()),
                flow.endOfStream(),
                () -> post(() -> dispatcher.readerReady(flow.callId())),
                () -> {
                    exchangesByCallId.remove(flow.callId());
                    post(() -> dispatcher.readerDisconnected(flow.callId(), EventLoop.nowMicros()));
                }));
    }

    private static void reject(
            final HttpExchange exchange,
            final int code,
            final String requestId,
            final String reason,
            final long retryAfterMicros,
            final String claimState) {
        final Map<String, Object> body = new TreeMap<>(Map.of(
                "outcome",
                "rejected",
                "ticket",
                requestId,
                "faults",
                List.of(reason),
                "retryAfterMs",
                retryAfterMicros / 1000));
        if (!claimState.isEmpty()) {
            body.put("stands", claimState);
        }
        exchange.reply(
                code,
                body,
                retryAfterMicros > 0
                        ? Map.of(
                                "Retry-After",
                                "" + Math.max(1, (retryAfterMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND))
                        : Map.of());
    }

    /** Replies to a call at this gateway's own door, for one that opens doors itself. */
    public void handle(final HttpExchange exchange) {
        final String operation = exchange.method() + " " + exchange.path();
        switch (operation) {
            case "POST /v1/picks" -> handlePick(exchange);
            case "POST /v1/tickets" -> handleRequest(exchange);
            case "POST /v1/announcements" -> handleWorkerReport(exchange);
            case "GET /live" -> exchange.reply(200, Map.of("live", true));
            case "GET /ready" ->
                exchange.reply(
                        unreadyReason.isEmpty() ? 200 : 503,
                        Map.of("ready", unreadyReason.isEmpty(), "why", unreadyReason.orElse("")));
            case "GET /status" -> handleStatus(exchange);
            case "GET /metrics" -> handleMetrics(exchange);
            default -> {
                if (operation.startsWith("GET /v1/tickets/")) {
                    handleAttach(exchange, exchange.path().substring("/v1/tickets/".length()));
                } else if (operation.startsWith("GET /v1/explain/")) {
                    handleExplain(exchange, exchange.path().substring("/v1/explain/".length()));
                } else {
                    exchange.reply(404, Map.of("outcome", "rejected", "faults", List.of("$: no such page")));
                }
            }
        }
    }

    private Optional<JsonDocument> parseBody(final HttpExchange exchange) {
        return switch (JsonDocument.parse(exchange.body(), settings.maxBodyBytes())) {
            case JsonDocument.ParseResult.Invalid bad -> {
                exchange.reply(bad.code(), Map.of("outcome", "rejected", "faults", List.of(bad.reason())));
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid good -> Optional.of(good.document());
        };
    }

    private static boolean rejectIfInvalid(final HttpExchange exchange, final JsonDocument document) {
        final List<String> faults = document.finish();
        if (!faults.isEmpty()) {
            exchange.reply(422, Map.of("outcome", "rejected", "faults", faults));
        }
        return !faults.isEmpty();
    }

    private void begin(final HttpExchange exchange, final java.util.function.LongConsumer task) {
        final long callId = lastCallId.incrementAndGet();
        exchangesByCallId.put(callId, exchange);
        exchange.onDisconnect(() -> {
            Optional.ofNullable(exchangesByCallId.remove(callId))
                    .ifPresent(gone -> post(() -> dispatcher.readerDisconnected(callId, EventLoop.nowMicros())));
        });
        if (!post(() -> task.accept(callId))) {
            exchangesByCallId.remove(callId);
            reject(exchange, 503, "", "the ring is full", MICROS_PER_SECOND, "");
        }
    }

    private void handlePick(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final PlacementRequest order = new PlacementRequest(
                    exchange.bearerToken(),
                    document.string("tenant", 64),
                    document.string("kind", 64),
                    document.strings("prefix", 64, 128),
                    document.integer("size", 0, Integer.MAX_VALUE, 0),
                    document.string("key", 128, ""),
                    (int) document.integer("tries", 0, 1_000, 0));
            if (!rejectIfInvalid(exchange, document)) {
                begin(exchange, callId -> dispatcher.requestPlacement(order, callId, EventLoop.nowMicros()));
            }
        });
    }

    private void handleRequest(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final SubmittedRequest load = new SubmittedRequest(
                    exchange.bearerToken(),
                    document.string("permit", 4096),
                    document.strings("prefix", 64, 128),
                    document.string("prompt", settings.maxBodyBytes()),
                    document.integer("expiryMs", 1, 3_600_000, 30_000) * 1000);
            if (!rejectIfInvalid(exchange, document)) {
                begin(exchange, callId -> dispatcher.submit(load, callId, EventLoop.nowMicros()));
            }
        });
    }

    private void handleAttach(final HttpExchange exchange, final String requestId) {
        final String firstIndex = exchange.queryParameter("from").orElse("0");
        if (!firstIndex.matches("\\d{1,9}")) {
            exchange.reply(400, Map.of("outcome", "rejected", "faults", List.of("from: a piece's number is needed")));
            return;
        }
        final String secret = exchange.bearerToken();
        begin(
                exchange,
                callId -> dispatcher.attach(
                        requestId, secret, Long.parseLong(firstIndex), callId, EventLoop.nowMicros()));
    }

    private void handleWorkerReport(final HttpExchange exchange) {
        if (!PermitSigner.constantTimeEquals(exchange.bearerToken(), settings.workerKey())) {
            exchange.reply(401, Map.of("outcome", "rejected", "faults", List.of("the workers' key is needed")));
            return;
        }
        parseBody(exchange).ifPresent(document -> {
            final Worker worker = AnnouncementJson.read(document);
            final long echo = AnnouncementJson.echo(document);
            if (rejectIfInvalid(exchange, document)) {
                return;
            }
            if (!nodeLoop.execute(node -> {
                final long next = node.onAnnouncement(worker, echo, EventLoop.nowMicros());
                exchange.reply(
                        200,
                        Map.of(
                                "echo",
                                next,
                                "table",
                                node.gossip().stateMachine().policyRevision()));
                publish(node);
            })) {
                reject(exchange, 503, "", "the ring is full", MICROS_PER_SECOND, "");
            }
        });
    }

    private boolean authorizeOperator(final HttpExchange exchange) {
        final boolean authorized = PermitSigner.constantTimeEquals(exchange.bearerToken(), settings.operatorKey());
        if (!authorized) {
            exchange.reply(401, Map.of("outcome", "rejected", "faults", List.of("the operator's key is needed")));
        }
        return authorized;
    }

    private void handleExplain(final HttpExchange exchange, final String requestId) {
        if (authorizeOperator(exchange)) {
            post(() -> dispatcher
                    .traces()
                    .get(requestId)
                    .or(() -> router.traces().get(requestId))
                    .ifPresentOrElse(
                            trace -> exchange.reply(200, traceJson(trace)),
                            () -> exchange.reply(
                                    404, Map.of("outcome", "rejected", "faults", List.of("no such ticket here")))));
        }
    }

    private static Map<String, Object> traceJson(final TraceLog.RequestTrace trace) {
        final List<Map<String, Object>> opinions = new ArrayList<>();
        trace.scores()
                .forEach(opinion -> opinions.add(Map.of(
                        "worker",
                        opinion.worker(),
                        "judge",
                        opinion.scorer(),
                        "weight",
                        opinion.weight(),
                        "finding",
                        switch (opinion.result()) {
                            case ScorerResult.Score score -> "score " + Math.round(score.value() * 1000) / 1000.0;
                            case ScorerResult.Veto veto -> "veto: " + veto.reason();
                            case ScorerResult.Deferred later -> "later: " + later.reason();
                        })));
        final Map<String, Object> body = new TreeMap<>(Map.of(
                "ticket",
                trace.requestId(),
                "tenant",
                trace.tenant(),
                "kind",
                trace.kind(),
                "worker",
                trace.worker(),
                "table",
                trace.revision(),
                "stamp",
                "" + trace.timestamp(),
                "state",
                trace.state(),
                "why",
                trace.reason(),
                "tries",
                trace.attempts()));
        body.put("judges", opinions);
        return body;
    }

    private void handleStatus(final HttpExchange exchange) {
        if (!authorizeOperator(exchange)) {
            return;
        }
        nodeLoop.execute(node -> {
            final long now = EventLoop.nowMicros();
            final Map<String, Object> body = new TreeMap<>();
            body.put("name", settings.name());
            body.put("ready", unreadyReason.isEmpty());
            body.put("why", unreadyReason.orElse(""));
            body.put("table", node.gossip().stateMachine().policyRevision());
            body.put(
                    "tableAgeMs",
                    node.gossip().stateAge(now) == Long.MAX_VALUE
                            ? -1
                            : node.gossip().stateAge(now) / 1000);
            body.put("stamp", "" + node.processClock().last().bits());
            body.put("wallJumps", node.physicalClock().jumps());
            body.put("view", node.view().number());
            body.put(
                    "chain",
                    node.view().chain().stream()
                            .map(replica -> replica.address())
                            .toList());
            body.put(
                    "crew",
                    node.membership().all().stream()
                            .map(member -> member.id() + " " + member.role() + " " + member.zone() + " "
                                    + member.state() + (member.ready() ? " ready" : ""))
                            .toList());
            body.put(
                    "workers",
                    node.gossip().workers().values().stream()
                            .map(heard -> heard.worker().id() + " "
                                    + heard.worker().zone() + " running "
                                    + heard.worker().running() + "/"
                                    + heard.worker().slots()
                                    + (heard.worker().draining() ? " leaving" : "") + " age "
                                    + (heard.age(now) == Long.MAX_VALUE ? "unknown" : heard.age(now) / 1000 + " ms"))
                            .sorted()
                            .toList());
            exchange.reply(200, body);
        });
    }

    private void handleMetrics(final HttpExchange exchange) {
        post(() -> {
            final Map<String, Object> values = new TreeMap<>();
            dispatcher.counters().forEach((k, v) -> values.put("carry_" + k, v));
            values.put("carry_open", dispatcher.openRequests());
            router.counters().forEach((k, v) -> values.put("passage_" + k, v));
            values.put("passage_open", router.openRequests());
            values.put("passage_charter", router.configurationNumber());
            nodeLoop.execute(node -> {
                final var clockCounts = node.processClock().counts();
                values.put("tide_waits", clockCounts.waits());
                values.put("tide_carries", clockCounts.overflows());
                values.put("tide_far", clockCounts.tooFarAhead());
                values.put("tide_dropped", clockCounts.dropped());
                node.counters().forEach((k, v) -> values.put("deck_" + k, v));
                values.put("wire_bad", transport.bad());
                values.put("wire_dropped", transport.droppedFrames());
                values.put(
                        "ring_full",
                        dispatchLoop.rejectedTasks() + nodeLoop.eventLoop().rejectedTasks());
                exchange.replyText(values.entrySet().stream()
                                .map(e -> "silverlatch_" + e.getKey() + " " + e.getValue())
                                .collect(Collectors.joining("\n"))
                        + "\n");
            });
        });
    }
}
