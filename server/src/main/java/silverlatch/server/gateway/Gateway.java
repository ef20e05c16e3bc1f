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
import silverlatch.server.proxy.Fields;
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
import silverlatch.server.workerclient.Back;
import silverlatch.server.workerclient.Lines;
import silverlatch.state.CommandResult;

/** The data plane's process: picks, carries and gossips. */
@Singleton
public final class Gateway implements Back.Sink {
    private static final long MILLION = 1_000_000L;
    private static final long LINGER = 2_500_000L;
    private static final int THREADS = 16;
    private static final int HEAD = 16 << 10;
    private static final long IDLE = 60_000L;
    private final Settings settings;
    private final Node deck;
    private final Dispatcher carry;
    private final Transport dock;
    private Optional<ApiServer> web = Optional.empty();
    private boolean backed;
    private final Back back;
    private final EventLoopHandle bridge;
    private final Optional<Recorder> book;
    private final EventLoop duty;
    private final Map<Long, HttpExchange> calls = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();
    private final Router passage;
    private volatile Optional<ProxyServer> gate = Optional.empty();
    private volatile Optional<String> unready = Optional.of("starting");
    private volatile List<Member> gateways = List.of();

    /** Joins the parts. */
    @Inject
    public Gateway(final Settings settings, final Node deck, final Dispatcher carry, final Router passage) {
        this.settings = settings;
        this.deck = deck;
        this.carry = carry;
        this.passage = passage;
        this.duty = new EventLoop("carry", 16_384, settings.intervals().dispatchTick(), this::beat);
        this.dock = new Transport(settings.peerAddress(), this::frame);
        this.bridge = new EventLoopHandle(deck, settings.intervals().nodeTick(), dock::send, k -> {}, this::publish);
        this.back = new Back(settings.maxLineBytes(), settings.workerKey(), this);
        this.book = settings.recordFolder().map(Recorder::new);
    }

    /** Starts the duties and opens the door for picks. */
    public void start() throws IOException, ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientFault {
        web = Optional.of(new ApiServer(settings.httpAddress(), settings.maxBodyBytes(), this::route));
        begin();
        web.get().start();
        if (settings.proxyAddress().isPresent()) {
            final WorkerHttpClient lighter = new WorkerHttpClient(WorkerHttpClient.Setup.PLAIN);
            lighter.start();
            final MultiListenerServer doors = new MultiListenerServer(THREADS);
            final ProxyServer proxy = gate(Fields.PLAIN, lighter);
            proxy.door(doors.addListener(settings.proxyAddress().get(), HEAD, IDLE, proxy));
            doors.start();
        }
    }

    /** Starts the duties; whoever calls opens the doors. */
    public void begin() throws IOException {
        book.ifPresent(Recorder::start);
        dock.start();
        bridge.start();
        duty.start();
        EventLog.write(
                Event.STARTED,
                "gateway " + settings.name() + " at " + settings.peerAddress() + " door " + settings.httpAddress());
    }

    /** Stops in good order: unready at once, streams go on within the grace, what is left is told to be lost. */
    public void stop() {
        try {
            duty.post(carry::stopAccepting);
            duty.post(passage::startDraining);
            gate.ifPresent(ProxyServer::close);
            bridge.execute(d -> d.setReady(false));
            final long end = EventLoop.nowMicros() + settings.shutdownGrace();
            TimeUnit.MICROSECONDS.sleep(gate.isEmpty() ? 200_000L : Math.min(LINGER, settings.shutdownGrace() / 3));
            duty.post(passage::close);
            while (EventLoop.nowMicros() < end
                    && carry.openRequests() + gate.map(ProxyServer::open).orElse(0) > 0) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            post(() -> carry.shutdown(EventLoop.nowMicros()));
            post(() -> passage.shutdown(EventLoop.nowMicros()));
            bridge.execute(d -> d.leave(EventLoop.nowMicros()));
            TimeUnit.MILLISECONDS.sleep(150);
            EventLog.write(Event.STOPPED, "gateway " + settings.name());
            if (web.isPresent()) {
                web.get().stop();
            }
        } catch (final InterruptedException | ApiServer.HttpServerException e) {
            EventLog.write(Event.STOPPED, "gateway " + settings.name() + " in haste");
        }
    }

    @Override
    public void begun(final long job) {
        post(() -> carry.attemptStarted(job));
    }

    @Override
    public void line(final long job, final StreamRecord line) {
        post(() -> carry.recordReceived(job, line, EventLoop.nowMicros()));
    }

    @Override
    public void failed(final long job, final boolean started, final String why) {
        post(() -> carry.attemptFailed(job, started, why, EventLoop.nowMicros()));
    }

    private void frame(final silverlatch.wire.Frame f) {
        bridge.execute(d -> d.onFrame(f, EventLoop.nowMicros()));
    }

    /** Makes the gate for tickets that come by host and path; where there is one it decides when this gateway is ready. */
    public ProxyServer gate(final Fields words, final WorkerHttpClient lighter) {
        final ProxyServer made = new ProxyServer(words, lighter, job -> post(() -> job.accept(passage)));
        gate = Optional.of(made);
        return made;
    }

    /** Takes the seeds that hold from now on. */
    public void seeds(final List<String> next) {
        bridge.execute(d -> d.membership().setSeeds(next));
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unready() {
        return unready;
    }

    /** The gateways that take tickets as far as is known here, this one among them. */
    public List<Member> gateways() {
        return gateways;
    }

    private void publish(final Node d) {
        final ClusterSnapshot facts = d.facts();
        gateways = java.util.stream.Stream.concat(java.util.stream.Stream.of(facts.self()), facts.peers().stream())
                .filter(Member::ready)
                .toList();
        post(() -> {
            carry.clusterSnapshot(facts, EventLoop.nowMicros());
            passage.clusterSnapshot(facts, EventLoop.nowMicros());
            gate.ifPresent(g -> passage.limits().ifPresent(g::limits));
        });
    }

    private boolean post(final Runnable job) {
        return duty.post(() -> {
            job.run();
            act();
        });
    }

    private void beat() {
        carry.tick(EventLoop.nowMicros());
        passage.tick(EventLoop.nowMicros());
        act();
        final Optional<String> why =
                gate.isEmpty() ? carry.unreadyReason(EventLoop.nowMicros()) : passage.unreadyReason();
        if (why.isPresent() != unready.isPresent()) {
            EventLog.write(
                    why.isPresent() ? Event.UNREADY : Event.READY,
                    settings.name() + why.map(w -> ": " + w).orElse(""));
            bridge.execute(d -> d.setReady(why.isEmpty()));
        }
        unready = why;
    }

    private void act() {
        gate.ifPresent(g -> passage.drainEffects().forEach(g::apply));
        for (final DispatchEffect a : carry.drainEffects()) {
            switch (a) {
                case DispatchEffect.Placed p ->
                    call(
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
                    call(p.callId(), c -> c.reply(200, Map.of("outcome", "pointed", "doors", p.endpoints())));
                case DispatchEffect.Rejected r ->
                    call(
                            r.callId(),
                            c -> reject(c, r.statusCode(), r.requestId(), r.reason(), r.retryAfter(), r.claimState()));
                case DispatchEffect.StreamWrite f -> flow(f);
                case DispatchEffect.StartAttempt r -> run(r);
                case DispatchEffect.CancelAttempt c -> back.cut(c.operationId());
                case DispatchEffect.SubmitCommand c ->
                    bridge.submit(
                            c.command(),
                            c.timeout(),
                            v -> post(() ->
                                    carry.claimDecided(c.operationId(), (CommandResult) v, EventLoop.nowMicros())));
                case DispatchEffect.PlacementDecided j -> book.ifPresent(b -> b.write(RecordingFormat.write(j)));
                case DispatchEffect.RequestEnded e -> book.ifPresent(b -> b.write(RecordingFormat.write(e)));
                case DispatchEffect.Log l -> EventLog.write(l.event(), l.text());
            }
        }
    }

    private void run(final DispatchEffect.StartAttempt r) {
        try {
            if (!backed) {
                back.start();
                backed = true;
            }
            back.run(r);
        } catch (final Back.BackFault e) {
            EventLog.write(Event.FAULT, "no run can be sent", e);
            post(() -> carry.attemptFailed(r.operationId(), false, "no client", EventLoop.nowMicros()));
        }
    }

    private void call(final long token, final java.util.function.Consumer<HttpExchange> job) {
        Optional.ofNullable(calls.remove(token)).ifPresent(job);
    }

    private void flow(final DispatchEffect.StreamWrite f) {
        final Optional<HttpExchange> call =
                Optional.ofNullable(f.endOfStream() ? calls.remove(f.callId()) : calls.get(f.callId()));
        call.ifPresent(c -> c.writeLines(
                f.records().stream().map(Lines::write).collect(Collectors.joining()),
                f.endOfStream(),
                () -> post(() -> carry.readerReady(f.callId())),
                () -> {
                    calls.remove(f.callId());
                    post(() -> carry.readerDisconnected(f.callId(), EventLoop.nowMicros()));
                }));
    }

    private static void reject(
            final HttpExchange c,
            final int code,
            final String ticket,
            final String why,
            final long after,
            final String stands) {
        final Map<String, Object> map = new TreeMap<>(
                Map.of("outcome", "rejected", "ticket", ticket, "faults", List.of(why), "retryAfterMs", after / 1000));
        if (!stands.isEmpty()) {
            map.put("stands", stands);
        }
        c.reply(
                code,
                map,
                after > 0 ? Map.of("Retry-After", "" + Math.max(1, (after + MILLION - 1) / MILLION)) : Map.of());
    }

    /** Replies to a call at this gateway's own door, for one that opens doors itself. */
    public void route(final HttpExchange c) {
        final String at = c.method() + " " + c.path();
        switch (at) {
            case "POST /v1/picks" -> pick(c);
            case "POST /v1/tickets" -> ticket(c);
            case "POST /v1/announcements" -> announce(c);
            case "GET /live" -> c.reply(200, Map.of("live", true));
            case "GET /ready" ->
                c.reply(unready.isEmpty() ? 200 : 503, Map.of("ready", unready.isEmpty(), "why", unready.orElse("")));
            case "GET /status" -> status(c);
            case "GET /metrics" -> metrics(c);
            default -> {
                if (at.startsWith("GET /v1/tickets/")) {
                    attach(c, c.path().substring("/v1/tickets/".length()));
                } else if (at.startsWith("GET /v1/explain/")) {
                    explain(c, c.path().substring("/v1/explain/".length()));
                } else {
                    c.reply(404, Map.of("outcome", "rejected", "faults", List.of("$: no such page")));
                }
            }
        }
    }

    private Optional<JsonDocument> sheet(final HttpExchange c) {
        return switch (JsonDocument.parse(c.body(), settings.maxBodyBytes())) {
            case JsonDocument.ParseResult.Invalid bad -> {
                c.reply(bad.code(), Map.of("outcome", "rejected", "faults", List.of(bad.reason())));
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid good -> Optional.of(good.document());
        };
    }

    private static boolean faulty(final HttpExchange c, final JsonDocument s) {
        final List<String> faults = s.finish();
        if (!faults.isEmpty()) {
            c.reply(422, Map.of("outcome", "rejected", "faults", faults));
        }
        return !faults.isEmpty();
    }

    private void begin(final HttpExchange c, final java.util.function.LongConsumer job) {
        final long token = tokens.incrementAndGet();
        calls.put(token, c);
        c.onDisconnect(() -> {
            Optional.ofNullable(calls.remove(token))
                    .ifPresent(gone -> post(() -> carry.readerDisconnected(token, EventLoop.nowMicros())));
        });
        if (!post(() -> job.accept(token))) {
            calls.remove(token);
            reject(c, 503, "", "the ring is full", MILLION, "");
        }
    }

    private void pick(final HttpExchange c) {
        sheet(c).ifPresent(s -> {
            final PlacementRequest o = new PlacementRequest(
                    c.bearerToken(),
                    s.string("tenant", 64),
                    s.string("kind", 64),
                    s.strings("prefix", 64, 128),
                    s.integer("size", 0, Integer.MAX_VALUE, 0),
                    s.string("key", 128, ""),
                    (int) s.integer("tries", 0, 1_000, 0));
            if (!faulty(c, s)) {
                begin(c, token -> carry.requestPlacement(o, token, EventLoop.nowMicros()));
            }
        });
    }

    private void ticket(final HttpExchange c) {
        sheet(c).ifPresent(s -> {
            final SubmittedRequest l = new SubmittedRequest(
                    c.bearerToken(),
                    s.string("permit", 4096),
                    s.strings("prefix", 64, 128),
                    s.string("prompt", settings.maxBodyBytes()),
                    s.integer("expiryMs", 1, 3_600_000, 30_000) * 1000);
            if (!faulty(c, s)) {
                begin(c, token -> carry.submit(l, token, EventLoop.nowMicros()));
            }
        });
    }

    private void attach(final HttpExchange c, final String ticket) {
        final String from = c.queryParameter("from").orElse("0");
        if (!from.matches("\\d{1,9}")) {
            c.reply(400, Map.of("outcome", "rejected", "faults", List.of("from: a piece's number is needed")));
            return;
        }
        final String secret = c.bearerToken();
        begin(c, token -> carry.attach(ticket, secret, Long.parseLong(from), token, EventLoop.nowMicros()));
    }

    private void announce(final HttpExchange c) {
        if (!PermitSigner.constantTimeEquals(c.bearerToken(), settings.workerKey())) {
            c.reply(401, Map.of("outcome", "rejected", "faults", List.of("the workers' key is needed")));
            return;
        }
        sheet(c).ifPresent(s -> {
            final Worker w = AnnouncementJson.read(s);
            final long echo = AnnouncementJson.echo(s);
            if (faulty(c, s)) {
                return;
            }
            if (!bridge.execute(d -> {
                final long next = d.onAnnouncement(w, echo, EventLoop.nowMicros());
                c.reply(
                        200,
                        Map.of("echo", next, "table", d.gossip().stateMachine().policyRevision()));
                publish(d);
            })) {
                reject(c, 503, "", "the ring is full", MILLION, "");
            }
        });
    }

    private boolean operator(final HttpExchange c) {
        final boolean good = PermitSigner.constantTimeEquals(c.bearerToken(), settings.operatorKey());
        if (!good) {
            c.reply(401, Map.of("outcome", "rejected", "faults", List.of("the operator's key is needed")));
        }
        return good;
    }

    private void explain(final HttpExchange c, final String ticket) {
        if (operator(c)) {
            post(() -> carry.traces()
                    .get(ticket)
                    .or(() -> passage.traces().get(ticket))
                    .ifPresentOrElse(
                            t -> c.reply(200, tale(t)),
                            () -> c.reply(
                                    404, Map.of("outcome", "rejected", "faults", List.of("no such ticket here")))));
        }
    }

    private static Map<String, Object> tale(final TraceLog.RequestTrace t) {
        final List<Map<String, Object>> said = new ArrayList<>();
        t.scores()
                .forEach(o -> said.add(Map.of(
                        "worker",
                        o.worker(),
                        "judge",
                        o.scorer(),
                        "weight",
                        o.weight(),
                        "finding",
                        switch (o.result()) {
                            case ScorerResult.Score s -> "score " + Math.round(s.value() * 1000) / 1000.0;
                            case ScorerResult.Veto v -> "veto: " + v.reason();
                            case ScorerResult.Deferred l -> "later: " + l.reason();
                        })));
        final Map<String, Object> map = new TreeMap<>(Map.of(
                "ticket",
                t.requestId(),
                "tenant",
                t.tenant(),
                "kind",
                t.kind(),
                "worker",
                t.worker(),
                "table",
                t.revision(),
                "stamp",
                "" + t.timestamp(),
                "state",
                t.state(),
                "why",
                t.reason(),
                "tries",
                t.attempts()));
        map.put("judges", said);
        return map;
    }

    private void status(final HttpExchange c) {
        if (!operator(c)) {
            return;
        }
        bridge.execute(d -> {
            final long now = EventLoop.nowMicros();
            final Map<String, Object> map = new TreeMap<>();
            map.put("name", settings.name());
            map.put("ready", unready.isEmpty());
            map.put("why", unready.orElse(""));
            map.put("table", d.gossip().stateMachine().policyRevision());
            map.put(
                    "tableAgeMs",
                    d.gossip().stateAge(now) == Long.MAX_VALUE ? -1 : d.gossip().stateAge(now) / 1000);
            map.put("stamp", "" + d.processClock().last().bits());
            map.put("wallJumps", d.physicalClock().jumps());
            map.put("view", d.view().number());
            map.put("chain", d.view().chain().stream().map(b -> b.address()).toList());
            map.put(
                    "crew",
                    d.membership().all().stream()
                            .map(m -> m.id() + " " + m.role() + " " + m.zone() + " " + m.state()
                                    + (m.ready() ? " ready" : ""))
                            .toList());
            map.put(
                    "workers",
                    d.gossip().workers().values().stream()
                            .map(h -> h.worker().id() + " " + h.worker().zone() + " running "
                                    + h.worker().running() + "/" + h.worker().slots()
                                    + (h.worker().draining() ? " leaving" : "") + " age "
                                    + (h.age(now) == Long.MAX_VALUE ? "unknown" : h.age(now) / 1000 + " ms"))
                            .sorted()
                            .toList());
            c.reply(200, map);
        });
    }

    private void metrics(final HttpExchange c) {
        post(() -> {
            final Map<String, Object> all = new TreeMap<>();
            carry.counters().forEach((k, v) -> all.put("carry_" + k, v));
            all.put("carry_open", carry.openRequests());
            passage.counters().forEach((k, v) -> all.put("passage_" + k, v));
            all.put("passage_open", passage.openRequests());
            all.put("passage_charter", passage.configurationNumber());
            bridge.execute(d -> {
                final var n = d.processClock().counts();
                all.put("tide_waits", n.waits());
                all.put("tide_carries", n.overflows());
                all.put("tide_far", n.tooFarAhead());
                all.put("tide_dropped", n.dropped());
                d.counters().forEach((k, v) -> all.put("deck_" + k, v));
                all.put("wire_bad", dock.bad());
                all.put("wire_dropped", dock.droppedFrames());
                all.put("ring_full", duty.rejectedTasks() + bridge.eventLoop().rejectedTasks());
                c.replyText(all.entrySet().stream()
                                .map(e -> "silverlatch_" + e.getKey() + " " + e.getValue())
                                .collect(Collectors.joining("\n"))
                        + "\n");
            });
        });
    }
}
