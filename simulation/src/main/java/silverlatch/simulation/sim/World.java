package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import silverlatch.node.Effect;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/**
 * A simulated deployment on one virtual clock: nodes that run the production code, simulated workers, clients and operators, and
 * the {@link Observer}. Deterministic: the same plan, seed and faults give the same events. Times are microseconds. Runs on
 * one thread.
 */
public final class World {
    private static final long SECOND = 1_000_000L;
    private static final long TENTH = SECOND / 10;
    private static final int WORKER_SLOTS = 12;
    private static final int MAX_TENTHS_TO_START = 200;
    private static final int MAX_TENTHS_TO_LOAD = 300;
    private static final int MAX_SECONDS_TO_FULL_CHAIN = 90;
    private final EventScheduler scheduler;
    private final SimulatedNetwork network;
    private final Observer observer;
    private final Disturbances disturbances;
    private final FrameTransport frames;
    private final AttemptTransport attempts;
    private final LoadGenerator load;
    private final Operators operators;
    private final Plan plan;
    private final Safeguards safeguards;
    private final boolean verbose;
    private final WorldListener listener;
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
    private final List<String> timeline = new ArrayList<>();
    private long nextSerial;

    /**
     * Creates a world whose processes are not started yet.
     *
     * @param plan              the regions, tenants and kinds of requests to simulate
     * @param seed              seeds every random choice
     * @param requestsPerSecond the clients' request rate at the start
     * @param safeguards        the safeguards that are enabled
     * @param verbose           whether the timeline and the nodes' logs are printed
     */
    public World(
            final Plan plan,
            final long seed,
            final long requestsPerSecond,
            final Safeguards safeguards,
            final boolean verbose) {
        this(plan, seed, requestsPerSecond, safeguards, verbose, WorldListener.NONE);
    }

    /** Creates a world that notifies a listener of every frame and effect of its processes. */
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
        this.disturbances = new Disturbances(scheduler, observer);
        this.plan = plan;
        this.safeguards = safeguards;
        this.verbose = verbose;
        this.listener = listener;
        this.frames = new FrameTransport(this);
        this.attempts = new AttemptTransport(this);
        this.load = new LoadGenerator(this, requestsPerSecond);
        final List<String> seeds = IntStream.rangeClosed(1, plan.regions().size())
                .mapToObj(number -> "controller-" + number)
                .toList();
        int number = 0;
        for (final Plan.Region region : plan.regions()) {
            number++;
            addRegion(region, "controller-" + number, seeds);
        }
        this.operators = new Operators(this);
    }

    private void addRegion(final Plan.Region region, final String controller, final List<String> seeds) {
        addNode(controller, region, seeds, true);
        final int firstGateway = gateways().size() + 1;
        final List<SimulatedNode> nearbyGateways = new ArrayList<>();
        for (int i = 0; i < region.gateways(); i++) {
            nearbyGateways.add(addNode("gateway-" + (firstGateway + i), region, seeds, false));
        }
        final int firstWorker = workers.size() + 1;
        for (int i = 0; i < region.workers(); i++) {
            final String name = "worker-" + (firstWorker + i);
            workers.put(
                    name,
                    new SimulatedWorker(this, name, region.zone(), region.region(), nearbyGateways, WORKER_SLOTS));
            network.place(name, region.region());
        }
        network.place("consumers-" + region.region(), region.region());
    }

    private SimulatedNode addNode(
            final String name, final Plan.Region region, final List<String> seeds, final boolean disk) {
        final SimulatedNode node = new SimulatedNode(this, name, region.zone(), region.region(), seeds, disk);
        nodes.put(name, node);
        network.place(name, region.region());
        return node;
    }

    /** Returns the scheduler: the virtual clock and the source of randomness. */
    public EventScheduler scheduler() {
        return scheduler;
    }

    /** Returns the simulated network. */
    public SimulatedNetwork network() {
        return network;
    }

    /** Returns the observer that checks the invariants. */
    public Observer observer() {
        return observer;
    }

    /** Returns the injected faults and operator actions, in order. */
    public List<String> timeline() {
        return List.copyOf(timeline);
    }

    Disturbances disturbances() {
        return disturbances;
    }

    FrameTransport frames() {
        return frames;
    }

    AttemptTransport attempts() {
        return attempts;
    }

    LoadGenerator load() {
        return load;
    }

    Operators operators() {
        return operators;
    }

    Plan plan() {
        return plan;
    }

    Safeguards safeguards() {
        return safeguards;
    }

    WorldListener listener() {
        return listener;
    }

    List<SimulatedNode> gateways() {
        return nodes.values().stream().filter(node -> !node.isController()).toList();
    }

    List<SimulatedNode> controllers() {
        return nodes.values().stream().filter(SimulatedNode::isController).toList();
    }

    List<SimulatedWorker> workers() {
        return List.copyOf(workers.values());
    }

    SimulatedWorker worker(final String name) {
        return workers.get(name);
    }

    Optional<SimulatedNode> node(final String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    Optional<SimulatedNode> nodeAt(final String address) {
        return nodes.values().stream()
                .filter(node -> node.address().equals(address))
                .findFirst();
    }

    <T> T randomOf(final List<T> list) {
        return list.get(scheduler.random().nextInt(list.size()));
    }

    /** Adds a fault or an operator action to the timeline, and prints it if the world is verbose. */
    void record(final String event) {
        timeline.add(scheduler.now() / 1000 + " ms " + event);
        if (verbose) {
            System.out.println(scheduler.now() / 1000 + " ms " + event);
        }
    }

    /** Prints a node's log event if the world is verbose. */
    void log(final SimulatedNode node, final Effect.Log log) {
        if (verbose) {
            System.out.println(scheduler.now() / 1000 + " ms " + node.name() + " " + log.event() + " " + log.text());
        }
    }

    /**
     * Waits until no disk is about to be lost and all controllers form one chain again, or for at most 90 s: the chain tolerates
     * the permanent loss of only one disk at a time.
     */
    void waitForFullChain() {
        for (int i = 0;
                i < MAX_SECONDS_TO_FULL_CHAIN && (disturbances.areDiskLossesExpected() || !isChainComplete());
                i++) {
            scheduler.runUntil(scheduler.now() + SECOND);
        }
    }

    /** Returns whether all controllers are ready and each sees a chain with as many replicas as there are regions. */
    boolean isChainComplete() {
        return controllers().stream()
                .allMatch(controller -> controller.isReady()
                        && controller
                                .process()
                                .map(node -> node.view().chain().size()
                                        == plan.regions().size())
                                .orElse(false));
    }

    /** Kills a controller for good and starts a replacement with an empty disk at a new address. */
    SimulatedNode replaceController(final SimulatedNode replaced) {
        replaced.kill();
        nodes.remove(replaced.name());
        final String name = "controller-" + (char) ('a' + nodes.size() % 26)
                + scheduler.random().nextInt(1_000);
        final List<String> seeds = new ArrayList<>(
                controllers().stream().map(SimulatedNode::address).limit(2).toList());
        seeds.add(replaced.address());
        final SimulatedNode replacement = addNode(name, regionOf(replaced), seeds, true);
        replacement.start();
        return replacement;
    }

    private Plan.Region regionOf(final SimulatedNode node) {
        return plan.regions().stream()
                .filter(region -> region.region().equals(node.region()))
                .findFirst()
                .orElseThrow();
    }

    /** Starts another controller that has no data directory and hence no vote. */
    void addControllerWithoutVote() {
        final Plan.Region region = randomOf(plan.regions());
        final List<String> seeds =
                controllers().stream().map(SimulatedNode::address).toList();
        addNode("controller-without-vote-" + nextSerialNumber(), region, seeds, false)
                .start();
    }

    /** Starts all processes, waits until they are ready, loads the tenants and the table, and starts clients and operators. */
    public void start() {
        nodes.values().forEach(SimulatedNode::start);
        workers.values().forEach(SimulatedWorker::start);
        await(MAX_TENTHS_TO_START, () -> controllers().stream().allMatch(SimulatedNode::isReady));
        operators.loadTenantsAndTable();
        await(MAX_TENTHS_TO_LOAD, () -> gateways().stream().allMatch(this::isReadyWithTable));
        if (!gateways().stream().allMatch(SimulatedNode::isReady)) {
            observer.violated(Invariant.SERVES_AFTER_FAULTS, "the fleet did not stand up");
        }
        scheduler.runUntil(scheduler.now() + 2 * SECOND);
        load.start();
        operators.start();
        observeRateValues();
    }

    private void await(final int tenths, final BooleanSupplier condition) {
        for (int i = 0; i < tenths && !condition.getAsBoolean(); i++) {
            scheduler.runUntil(scheduler.now() + TENTH);
        }
    }

    private boolean isReadyWithTable(final SimulatedNode gateway) {
        final String firstKind = plan.kinds().get(0).kind();
        return gateway.isReady()
                && gateway.clusterSnapshot()
                        .map(snapshot -> snapshot.row("*", firstKind).isPresent())
                        .orElse(false);
    }

    /** Stops the clients and the operators from sending new requests and changes. */
    public void stopLoad() {
        load.stop();
        operators.stop();
    }

    /** Starts a client request, which {@code previousAttempts} requests with the same content preceded. */
    void startRequest(
            final ClientRequest.Content content, final int previousAttempts, final boolean movesBetweenGateways) {
        new ClientRequest(this, content, previousAttempts, movesBetweenGateways, nextSerialNumber()).start();
    }

    private long nextSerialNumber() {
        return ++nextSerial;
    }

    private void observeRateValues() {
        gateways().stream()
                .filter(SimulatedNode::isReady)
                .forEach(gateway -> observer.operatorHistory()
                        .valuesObserved(gateway.rateValues(), "is followed by " + gateway.name()));
        scheduler.schedule(SECOND / 4, this::observeRateValues);
    }
}
