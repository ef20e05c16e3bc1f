package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.node.Effect;
import silverlatch.node.OutgoingFrame;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** A whole deployment on one fake clock: daemons of the shipping code, workers, consumers, operators, and the observer. */
public final class World {
    private static final long SECOND = 1_000_000L;
    private final EventScheduler scheduler;
    private final SimulatedNetwork network;
    private final Observer observer;
    private final Operators operators;
    private final Plan plan;
    private final Safeguards safeguards;
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
    private final Map<String, IssuedRequest> issuedRequests = new HashMap<>();
    private final Map<String, Frame> newestFrames = new HashMap<>();
    private final Map<String, String> regionByRun = new HashMap<>();
    private final Map<InjectionPoint, Consumer<SimulatedNode>> armedInjections = new EnumMap<>(InjectionPoint.class);
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<RequestKind> kinds = new ArrayList<>();
    private final List<String> timeline = new ArrayList<>();
    private final Codec codec = new Codec();
    private final boolean verbose;
    private final WorldListener listener;
    private long arrivals;
    private long nextSerial;
    private long requestsPerSecond;
    private int lengthBias;
    private boolean clientsMoving;
    private boolean stopped;
    private long losingDisksUntil;
    private final List<Recovery> recoveries = new ArrayList<>();
    private long disturbedAt;
    private long pendingHeals;
    private long clockSkewedAt = Long.MIN_VALUE / 2;

    record Tenant(String name, String key, double share, List<String> homeRegions) {}

    /** Something came back: a region, or all when the name is empty. */
    record Recovery(String region, long time) {}

    record RequestKind(String kind, int weight, int chunks, int prefixParts, boolean atMostOnce) {}

    private record IssuedRequest(Tenant tenant, String idempotencyKey, int previousAttempts) {}

    /** A world of a plan, driven by a seed, with so many tickets a second. */
    public World(
            final Plan plan,
            final long seed,
            final long requestsPerSecond,
            final Safeguards safeguards,
            final boolean verbose) {
        this(plan, seed, requestsPerSecond, safeguards, verbose, WorldListener.NONE);
    }

    /** A world whose listener is told of all that its processes do. */
    World(
            final Plan plan,
            final long seed,
            final long requestsPerSecond,
            final Safeguards safeguards,
            final boolean verbose,
            final WorldListener listener) {
        this.scheduler = new EventScheduler(seed);
        this.network = new SimulatedNetwork(scheduler);
        this.observer = new Observer(scheduler::now);
        this.plan = plan;
        this.requestsPerSecond = requestsPerSecond;
        this.safeguards = safeguards;
        this.verbose = verbose;
        this.listener = listener;
        final List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= plan.regions().size(); i++) {
            seeds.add("controller-" + i);
        }
        int controllerNumber = 0;
        int gatewayNumber = 0;
        int workerNumber = 0;
        for (final Plan.Region region : plan.regions()) {
            controllerNumber++;
            register(new SimulatedNode(
                    this,
                    "controller-" + controllerNumber,
                    region.zone(),
                    region.region(),
                    "controller-" + controllerNumber,
                    seeds,
                    true));
            final List<SimulatedNode> nearbyGateways = new ArrayList<>();
            for (int i = 0; i < region.gateways(); i++) {
                gatewayNumber++;
                nearbyGateways.add(register(new SimulatedNode(
                        this,
                        "gateway-" + gatewayNumber,
                        region.zone(),
                        region.region(),
                        "gateway-" + gatewayNumber,
                        seeds,
                        false)));
            }
            for (int i = 0; i < region.workers(); i++) {
                workerNumber++;
                final SimulatedWorker worker = new SimulatedWorker(
                        this, "worker-" + workerNumber, region.zone(), region.region(), nearbyGateways, 12);
                workers.put(worker.name(), worker);
                network.place(worker.name(), region.region());
            }
            network.place("consumers-" + region.region(), region.region());
        }
        plan.tenants().forEach(t -> tenants.add(new Tenant(t.name(), t.key(), t.share(), t.homeRegions())));
        plan.kinds()
                .forEach(k ->
                        kinds.add(new RequestKind(k.kind(), k.weight(), k.chunks(), k.prefixParts(), k.atMostOnce())));
        this.operators = new Operators(this);
    }

    /** The engine. */
    public EventScheduler scheduler() {
        return scheduler;
    }

    /** The network. */
    public SimulatedNetwork network() {
        return network;
    }

    /** The observer. */
    public Observer observer() {
        return observer;
    }

    /** What was done to this world, in order. */
    public List<String> timeline() {
        return List.copyOf(timeline);
    }

    WorldListener listener() {
        return listener;
    }

    Safeguards safeguards() {
        return safeguards;
    }

    Plan plan() {
        return plan;
    }

    /** Waits until the controllers stand in one chain again, so that a machine may be lost for good. */
    void waitForFullChain() {
        for (int i = 0; i < 90 && (scheduler.now() < losingDisksUntil || !isChainComplete()); i++) {
            scheduler.runUntil(scheduler.now() + SECOND);
        }
    }

    /** Whether all controllers stand in one chain. */
    boolean isChainComplete() {
        return controllers().stream()
                .allMatch(node -> node.ready()
                        && node.process()
                                .map(d -> d.view().chain().size()
                                        == plan.regions().size())
                                .orElse(false));
    }

    /** Machines go on being lost until then. */
    void losingDisksUntil(final long duration) {
        losingDisksUntil = scheduler.now() + duration;
    }

    /** What came back, and when. */
    List<Recovery> recoveries() {
        return List.copyOf(recoveries);
    }

    /** A region came back, or all when the name is empty. */
    void recovered(final String region) {
        recoveries.add(new Recovery(region, scheduler.now()));
        disturbed();
    }

    /** Something is done to the world or is healed at this moment. */
    void disturbed() {
        disturbedAt = scheduler.now();
    }

    /** When something was last done to the world. */
    long disturbedAt() {
        return disturbedAt;
    }

    /** Does something later that stirs the world. */
    void disturbLater(final long delay, final Runnable task) {
        pendingHeals++;
        scheduler.schedule(delay, () -> {
            pendingHeals--;
            disturbed();
            task.run();
        });
    }

    /** Whether nothing that was done to the world waits to be healed. */
    boolean isHealed() {
        return pendingHeals == 0;
    }

    /** The next daemon that comes to a step is hit there. */
    void arm(final InjectionPoint point, final Consumer<SimulatedNode> injection) {
        armedInjections.put(point, injection);
    }

    /** A daemon comes to a step. */
    void reached(final InjectionPoint point, final SimulatedNode node) {
        Optional.ofNullable(armedInjections.remove(point)).ifPresent(injection -> {
            observer.count("aimed-" + point);
            disturbed();
            injection.accept(node);
        });
    }

    /** A clock is off from now on: stamps are looked at closely. */
    void clockSkewed() {
        clockSkewedAt = scheduler.now();
    }

    boolean isClockSkewRecent() {
        return scheduler.now() - clockSkewedAt < 20 * SECOND;
    }

    Operators operators() {
        return operators;
    }

    List<Tenant> tenants() {
        return tenants.stream().distinct().toList();
    }

    List<RequestKind> kinds() {
        return kinds;
    }

    List<SimulatedNode> gateways() {
        return nodes.values().stream().filter(n -> !n.isController()).toList();
    }

    List<SimulatedNode> controllers() {
        return nodes.values().stream().filter(SimulatedNode::isController).toList();
    }

    List<SimulatedWorker> workers() {
        return List.copyOf(workers.values());
    }

    Optional<SimulatedNode> node(final String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    <T> T randomOf(final List<T> list) {
        return list.get(scheduler.random().nextInt(list.size()));
    }

    void record(final String event) {
        timeline.add(scheduler.now() / 1000 + " ms " + event);
        if (verbose) {
            System.out.println(scheduler.now() / 1000 + " ms " + event);
        }
    }

    void log(final SimulatedNode node, final Effect.Log log) {
        if (verbose) {
            System.out.println(scheduler.now() / 1000 + " ms " + node.name() + " " + log.event() + " " + log.text());
        }
    }

    /** Replaces a controller by an empty machine at a new address. */
    SimulatedNode replaceController(final SimulatedNode replaced) {
        replaced.kill();
        nodes.remove(replaced.name());
        final String name = "controller-" + (char) ('a' + nodes.size() % 26)
                + scheduler.random().nextInt(1_000);
        final List<String> seeds = controllers().stream()
                .map(SimulatedNode::address)
                .limit(2)
                .collect(java.util.stream.Collectors.toCollection(ArrayList::new));
        seeds.add(replaced.address());
        final SimulatedNode replacement =
                register(new SimulatedNode(this, name, replaced.zone(), replaced.region(), name, seeds, true));
        replacement.start();
        return replacement;
    }

    /** Adds a controller without a data folder, and hence without a vote. */
    void addControllerWithoutVote() {
        final Plan.Region region = randomOf(plan.regions());
        final String name = "controller-without-vote-" + nextSerialNumber();
        final List<String> seeds =
                controllers().stream().map(SimulatedNode::address).toList();
        register(new SimulatedNode(this, name, region.zone(), region.region(), name, seeds, false))
                .start();
    }

    /** Starts everything, waits until it stands, and gives it its tenants and its table. */
    public void start() {
        nodes.values().forEach(SimulatedNode::start);
        workers.values().forEach(SimulatedWorker::start);
        for (int i = 0; i < 200 && !controllers().stream().allMatch(SimulatedNode::ready); i++) {
            scheduler.runUntil(scheduler.now() + 100_000);
        }
        operators.loadTenantsAndTable();
        for (int i = 0;
                i < 300
                        && !gateways().stream()
                                .allMatch(node -> node.ready()
                                        && node.clusterSnapshot()
                                                .map(snapshot -> snapshot.row(
                                                                "*",
                                                                kinds.get(0).kind())
                                                        .isPresent())
                                                .orElse(false));
                i++) {
            scheduler.runUntil(scheduler.now() + 100_000);
        }
        if (!gateways().stream().allMatch(SimulatedNode::ready)) {
            observer.violated(Invariant.DEAD, "the fleet did not stand up");
        }
        scheduler.runUntil(scheduler.now() + 2 * SECOND);
        scheduleArrival();
        operators.open();
        observeFollowedValues();
    }

    /** No new ticket and no new order from now on. */
    public void stopLoad() {
        stopped = true;
        operators.stop();
    }

    /** Sets the tickets a second, and how far the mix leans to long prompts (or, below 0, to long replies). */
    void setLoad(final long newRate, final int newLengthBias) {
        requestsPerSecond = newRate;
        lengthBias = newLengthBias;
    }

    void setClientsMoving(final boolean moving) {
        clientsMoving = moving;
    }

    boolean areClientsMoving() {
        return clientsMoving;
    }

    long requestsPerSecond() {
        return requestsPerSecond;
    }

    void startRequest(final ClientRequest request) {
        request.start();
    }

    void issuedRequests(
            final ClientRequest request,
            final String requestId,
            final Tenant tenant,
            final String idempotencyKey,
            final int previousAttempts) {
        issuedRequests.put(requestId, new IssuedRequest(tenant, idempotencyKey, previousAttempts));
    }

    void send(final SimulatedNode sender, final OutgoingFrame outgoing) {
        listener.frameSent(scheduler.now(), sender.name(), outgoing);
        sender.checkSentStamp(outgoing.frame());
        final Optional<SimulatedNode> target = nodes.values().stream()
                .filter(n -> n.address().equals(outgoing.to()))
                .findFirst();
        target.ifPresent(receiver -> {
            final long sentTo = receiver.generation();
            final Frame delivered =
                    scheduler.random().nextInt(50) == 0 ? reencoded(outgoing.frame()) : outgoing.frame();
            network.sendFrame(sender.name(), receiver.name(), () -> {
                if (sentTo == receiver.generation()) {
                    if (Optional.ofNullable(newestFrames.get(receiver.name()))
                            .map(o -> o.stamp().isBefore(delivered.stamp()))
                            .orElse(true)) {
                        newestFrames.put(receiver.name(), delivered);
                    }
                    receiver.frameReceived(delivered);
                }
            });
        });
    }

    /** A daemon gets so many copies of the newest frame that another region sent it. */
    void replayNewestFrame(final SimulatedNode node, final int times) {
        Optional.ofNullable(newestFrames.get(node.name())).ifPresent(frame -> {
            for (int i = 0; i < times; i++) {
                node.frameReceived(frame);
            }
        });
    }

    private Frame reencoded(final Frame frame) {
        return codec.decode(codec.encode(frame), Frame.class) instanceof Codec.DecodeResult.Decoded<Frame> good
                ? good.value()
                : frame;
    }

    void startRun(
            final SimulatedNode gateway,
            final DispatchEffect.StartAttempt run,
            final Map<Long, Consumer<String>> openRuns) {
        final SimulatedWorker worker = workers.get(run.worker());
        final long revision = gateway.clusterSnapshot().map(f -> f.revision()).orElse(0L);
        final IssuedRequest issued =
                issuedRequests.getOrDefault(run.requestId(), new IssuedRequest(tenants.get(0), "", 0));
        observer.attemptSent(
                run.tenant(),
                issued.idempotencyKey(),
                !run.attemptId().endsWith(".1") || issued.previousAttempts() > 0,
                scheduler.now());
        if (run.kind().equals(Operators.GATE_KIND)) {
            observer.operatorHistory()
                    .gateObserved(gateway.name(), true, "ticket " + run.requestId() + " was sent", scheduler.now());
        }
        if (!network.isReachable(gateway.name(), worker.name())) {
            scheduler.schedule(SECOND, () -> attemptFailed(gateway, run.operationId(), false, "no connection in time"));
            return;
        }
        final long[] exchange = {0};
        final boolean[] ended = {false};
        openRuns.put(run.operationId(), reason -> {
            ended[0] = true;
            worker.cancel(exchange[0]);
        });
        final String connection = gateway.name() + ">" + worker.name() + "/" + run.attemptId();
        final long startedIn = gateway.generation();
        network.sendBytes(connection, gateway.name(), worker.name(), () -> {
            if (ended[0]) {
                return;
            }
            if (!worker.isAlive()) {
                attemptFailed(gateway, run.operationId(), false, "connection refused");
                return;
            }
            final BiConsumer<StreamRecord, Boolean> output =
                    (line, last) -> network.sendBytes(connection + "<", worker.name(), gateway.name(), () -> {
                        if (ended[0] || startedIn != gateway.generation()) {
                            return;
                        }
                        if (last) {
                            attemptFailed(gateway, run.operationId(), true, "the connection ended");
                        } else {
                            reached(InjectionPoint.STREAMING, gateway);
                            gateway.withDispatcher(c -> c.recordReceived(run.operationId(), line, gateway.now()));
                        }
                    });
            exchange[0] = worker.startRun(run, output);
            if (exchange[0] < 0) {
                network.sendBytes(
                        connection + "<",
                        worker.name(),
                        gateway.name(),
                        () -> attemptFailed(gateway, run.operationId(), false, "not started"));
                return;
            }
            network.sendBytes(
                    connection + "<",
                    worker.name(),
                    gateway.name(),
                    () -> gateway.withDispatcher(c -> c.attemptStarted(run.operationId())));
            regionByRun.put(run.attemptId(), worker.region());
            observer.runStarted(
                    new Observer.Run(
                            run.requestId(),
                            run.tenant(),
                            run.kind(),
                            issued.idempotencyKey(),
                            worker.name(),
                            worker.zone(),
                            worker.region(),
                            gateway.name(),
                            gateway.region(),
                            revision),
                    scheduler.now());
            if (run.kind().equals(Operators.GATE_KIND)) {
                observer.operatorHistory()
                        .obeyed(gateway.name(), true, "ticket " + run.requestId() + " ran", scheduler.now());
            }
            watchWorker(gateway, worker, run, ended, startedIn);
        });
    }

    /** The region of the worker that had a run. */
    String regionOfRun(final String attemptId) {
        return regionByRun.getOrDefault(attemptId, "");
    }

    private void watchWorker(
            final SimulatedNode gateway,
            final SimulatedWorker worker,
            final DispatchEffect.StartAttempt run,
            final boolean[] ended,
            final long startedIn) {
        scheduler.schedule(200_000, () -> {
            if (ended[0] || startedIn != gateway.generation()) {
                return;
            }
            if (!worker.isAlive()) {
                ended[0] = true;
                attemptFailed(gateway, run.operationId(), true, "the connection broke");
            } else {
                watchWorker(gateway, worker, run, ended, startedIn);
            }
        });
    }

    private void attemptFailed(
            final SimulatedNode gateway, final long operationId, final boolean started, final String reason) {
        final long failedIn = gateway.generation();
        gateway.withDispatcher(dispatcher -> {
            if (failedIn == gateway.generation()) {
                dispatcher.attemptFailed(operationId, started, reason, gateway.now());
            }
        });
    }

    private SimulatedNode register(final SimulatedNode node) {
        nodes.put(node.name(), node);
        network.place(node.name(), node.region());
        return node;
    }

    /** A number for each traveller. */
    long nextSerialNumber() {
        return ++nextSerial;
    }

    /** One tenant sends so many times as much as each other. */
    void multiplyFirstTenant(final int times) {
        for (int i = 1; i < times; i++) {
            tenants.add(tenants.get(0));
        }
    }

    private void scheduleArrival() {
        if (stopped) {
            return;
        }
        final Tenant tenant = randomOf(tenants);
        int weightLeft = scheduler
                .random()
                .nextInt(kinds.stream().mapToInt(RequestKind::weight).sum());
        RequestKind kind = kinds.get(0);
        for (final RequestKind candidate : kinds) {
            weightLeft -= candidate.weight();
            if (weightLeft < 0) {
                kind = candidate;
                break;
            }
        }
        arrivals++;
        final String idempotencyKey = kind.atMostOnce() ? "key-" + arrivals : "";
        final int chunks = 1 + scheduler.random().nextInt(kind.chunks() * (lengthBias < 0 ? 3 : 1));
        final List<String> prefix = new ArrayList<>();
        final int conversation = scheduler.random().nextInt(lengthBias > 0 ? 60 : 5);
        for (int i = 0; i < kind.prefixParts() * (lengthBias > 0 ? 2 : 1); i++) {
            prefix.add(kind.kind() + conversation + "/" + i);
        }
        final String prompt = chunks + " " + tenant.name() + " " + arrivals;
        final String endpoint = "consumers-" + randomOf(plan.regions()).region();
        startRequest(new ClientRequest(
                this,
                tenant,
                kind,
                idempotencyKey,
                endpoint,
                0,
                prompt,
                prefix,
                clientsMoving && scheduler.random().nextInt(3) == 0));
        if (kind.atMostOnce() && scheduler.random().nextInt(5) == 0) {
            startRequest(new ClientRequest(
                    this,
                    tenant,
                    kind,
                    idempotencyKey,
                    endpoint,
                    scheduler.random().nextInt(2),
                    prompt,
                    prefix,
                    false));
            observer.exercise(Invariant.TWICE);
        }
        if (scheduler.random().nextInt(6) == 0) {
            startRequest(new ClientRequest(
                    this,
                    tenant,
                    new RequestKind(Operators.GATE_KIND, 0, 3, 1, false),
                    "",
                    endpoint,
                    0,
                    "2 " + tenant.name() + " t" + arrivals,
                    List.of("trial"),
                    false));
        }
        scheduler.schedule(1 + scheduler.random().nextLong(2 * SECOND / requestsPerSecond), this::scheduleArrival);
    }

    private void observeFollowedValues() {
        gateways().stream()
                .filter(SimulatedNode::ready)
                .forEach(n ->
                        observer.operatorHistory().valuesObserved(n.followedValues(), "is followed by " + n.name()));
        scheduler.schedule(SECOND / 4, this::observeFollowedValues);
    }
}
