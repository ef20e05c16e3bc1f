package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.routing.Router;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.wire.GossipMessage;

/**
 * A cluster of complete nodes on one simulated clock: controllers named {@code c0, c1, ...} with a disk each, and gateways
 * named {@code g0, g1, ...} with a router each. Links can be cut in one direction; machines can be paused ("frozen"), slowed and
 * restarted. After each step of a gateway the cluster checks that its process hasn't returned to an older configuration.
 */
final class NodeCluster {
    static final long SECOND = 1_000_000L;
    /** The time that a caller waits for the result of a command, in microseconds. */
    static final long COMMAND_TIMEOUT = 900_000L;

    private static final long CONFIRMATION_TIMEOUT = 860_000L;
    private static final long TICK_INTERVAL = 20_000L;
    private static final long NETWORK_DELAY = 10_000L;
    private static final long DISK_SYNC_DELAY = 2_000L;
    private static final int GATEWAYS_WITH_DISK = 2;
    private final NodeFactory nodes;
    private final Map<String, Machine> machines = new TreeMap<>();
    private final ClusterLinks links = new ClusterLinks();
    private final ConsistencyMonitor monitor = new ConsistencyMonitor();
    private final SplittableRandom random;
    private final SimulatedClock clock = new SimulatedClock(100 * SECOND);
    private long lastToken;

    NodeCluster(final int controllers, final int gateways, final long seed) {
        this(controllers, gateways, seed, Safeguards.ALL);
    }

    NodeCluster(final int controllers, final int gateways, final long seed, final Safeguards safeguards) {
        this(controllers, gateways, seed, safeguards, 0);
    }

    /**
     * Creates a cluster whose gateways may route by an unconfirmed configuration for a time after their start. If that time isn't 0,
     * the first two gateways keep their configuration over a restart.
     */
    NodeCluster(
            final int controllers,
            final int gateways,
            final long seed,
            final Safeguards safeguards,
            final long startupGrace) {
        this.random = new SplittableRandom(seed);
        this.nodes = new NodeFactory(startupGrace, safeguards, random);
        for (int i = 0; i < controllers; i++) {
            machines.put("c" + i, new Machine("c" + i, i));
        }
        for (int i = 0; i < gateways; i++) {
            machines.put("g" + i, new Machine("g" + i, i));
        }
        machines.values().forEach(m -> m.start(controllers()));
        advance(5 * SECOND);
    }

    long now() {
        return clock.now();
    }

    List<String> violations() {
        return monitor.violations();
    }

    List<String> controllers() {
        return machines.keySet().stream().filter(n -> n.startsWith("c")).toList();
    }

    List<String> gateways() {
        return machines.keySet().stream().filter(n -> n.startsWith("g")).toList();
    }

    Node node(final String name) {
        return machines.get(name).node.orElseThrow();
    }

    /** Returns the revision by which a gateway routes requests; 0 while it accepts none. */
    long servedRevision(final String gateway) {
        return machines.get(gateway).servedRevision();
    }

    boolean isReady(final String gateway) {
        return machines.get(gateway).router.orElseThrow().unreadyReason().isEmpty();
    }

    /** Returns the time since a machine's configuration was last confirmed as the newest, in microseconds. */
    long stateAge(final String name) {
        return node(name).gossip().stateAge(localNow(name));
    }

    /** Returns the snapshot by which a gateway routes now; empty while its process is paused or not running. */
    Optional<ClusterSnapshot> routedSnapshot(final String gateway) {
        return machines.get(gateway).routedSnapshot();
    }

    SimulatedClock clock() {
        return clock;
    }

    List<ConsistencyMonitor.Acknowledged> acknowledged() {
        return monitor.acknowledged();
    }

    long localNow(final String name) {
        return machines.get(name).localNow();
    }

    /** Steps a machine's wall clock; its monotonic clock is unaffected. */
    void stepWallClock(final String name, final long by) {
        machines.get(name).machineClock.step(by);
    }

    /** Cuts a machine's power: its process ends, and its monotonic clock restarts at the next start. */
    void powerOff(final String name) {
        kill(name);
        machines.get(name).machineClock.powerOff();
    }

    ClusterLinks links() {
        return links;
    }

    /** Drops all frames in flight from and to a machine. */
    void resetConnections(final String name) {
        machines.get(name).connection++;
    }

    /** Pauses a machine's process; frames that it sent but that weren't delivered yet, and incoming frames, wait until it is resumed. */
    void freeze(final String name) {
        machines.get(name).isFrozen = true;
    }

    void thaw(final String name) {
        machines.get(name).thaw();
    }

    /** Kills a machine's process; records that weren't synced are lost. */
    void kill(final String name) {
        machines.get(name).kill();
    }

    void start(final String name, final List<String> seeds) {
        machines.get(name).start(seeds);
    }

    /** Erases a machine's disk, including its identity. */
    void wipeDisk(final String name) {
        machines.get(name).wipeDisk();
    }

    void announceWorker(final String at, final Worker report) {
        machines.get(at).step(n -> n.onAnnouncement(report, 0, localNow(at)));
    }

    void workerGone(final String at, final String workerId) {
        machines.get(at).step(n -> n.onWorkerGone(workerId, localNow(at)));
    }

    /** Asks a controller to confirm that a majority holds its newest report on a worker. */
    PendingConfirmation confirmReport(final String at, final String workerId) {
        final PendingConfirmation pending = new PendingConfirmation(now());
        final long token = ++lastToken;
        machines.get(at).pendingResponses.put(token, r -> pending.complete((Boolean) r, now()));
        machines.get(at).step(n -> n.confirmReport(workerId, token, localNow(at), localNow(at) + CONFIRMATION_TIMEOUT));
        return pending;
    }

    PendingCommand put(final String at, final long number, final long match) {
        return put(at, Configurations.configuration("order-" + number + "-" + match, number, match));
    }

    PendingCommand put(final String at, final Command command) {
        final PendingCommand pending = new PendingCommand(now());
        final long token = ++lastToken;
        machines.get(at).pendingResponses.put(token, r -> {
            pending.complete((CommandResult) r, now());
            if (pending.isAcknowledged()) {
                Configurations.number(command).ifPresent(number -> monitor.acknowledged(number, now()));
            }
        });
        machines.get(at).step(n -> n.submit(command, token, localNow(at), localNow(at) + COMMAND_TIMEOUT));
        return pending;
    }

    /** Reads the number of the newest configuration through a machine; empty if the read isn't served in time. */
    Optional<Long> read(final String at) {
        final List<Object> answers = startRead(at);
        advance(SECOND);
        return Configurations.numberRead(answers);
    }

    /** Starts a read; its reply is added to the returned list when it arrives. */
    List<Object> startRead(final String at) {
        final List<Object> answers = new ArrayList<>();
        final long token = ++lastToken;
        machines.get(at).pendingResponses.put(token, answers::add);
        machines.get(at)
                .step(n -> n.read(
                        ConfigurationValidator.CONFIGURATION_KEY, token, localNow(at), localNow(at) + COMMAND_TIMEOUT));
        return answers;
    }

    void advance(final long duration) {
        clock.advance(duration);
    }

    /** Advances time until a condition holds; returns the elapsed time, or -1 if the limit was exceeded. */
    long advanceUntil(final long limit, final BooleanSupplier condition) {
        return clock.advanceUntil(limit, condition);
    }

    /** A machine with its disk, its process if one is running, and the tasks that wait while the process is paused. */
    private final class Machine {
        private final String name;
        private final int index;
        private final List<LogRecord> disk = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private final Map<Long, Consumer<Object>> pendingResponses = new HashMap<>();
        private final MachineClock machineClock = new MachineClock();
        private String identity;
        private Optional<GossipMessage.GossipPullReply> saved = Optional.empty();
        private Optional<Node> node = Optional.empty();
        private Optional<Router> router = Optional.empty();
        private boolean isFrozen;
        private boolean isFirstStart = true;
        private int processNumber;
        private int connection;
        private long newestServed;
        private ClusterSnapshot snapshot;

        Machine(final String name, final int index) {
            this.name = name;
            this.index = index;
            this.identity = "id-" + name;
        }

        boolean isController() {
            return name.startsWith("c");
        }

        long localNow() {
            return machineClock.monotonicMicros(now());
        }

        Optional<ClusterSnapshot> routedSnapshot() {
            return isFrozen ? Optional.empty() : router.map(r -> snapshot);
        }

        void start(final List<String> seeds) {
            processNumber++;
            newestServed = 0;
            isFrozen = false;
            waiting.clear();
            pendingResponses.clear();
            machineClock.start(now());
            node = Optional.of(nodes.create(
                    new NodeFactory.Host(name, index, identity, isFirstStart, disk, machineClock), seeds, now()));
            isFirstStart = false;
            saved.ifPresent(state -> node.get().gossip().restoreState(state));
            snapshot = node.get().clusterSnapshot();
            router = isController() ? Optional.empty() : Optional.of(newRouter(snapshot));
            tick(processNumber);
        }

        private Router newRouter(final ClusterSnapshot first) {
            return new Router(Router.Settings.DEFAULT, first, () -> new Stamp(now()), random.split());
        }

        void kill() {
            processNumber++;
            node = Optional.empty();
            router = Optional.empty();
            waiting.clear();
        }

        void wipeDisk() {
            disk.clear();
            identity = "id-" + name + "-" + now();
        }

        void thaw() {
            isFrozen = false;
            final List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
        }

        long servedRevision() {
            return router.filter(r -> r.unreadyReason().isEmpty())
                    .map(Router::configurationNumber)
                    .orElse(0L);
        }

        void step(final Consumer<Node> job) {
            final int expectedProcess = processNumber;
            final Runnable guarded = () -> {
                if (expectedProcess == processNumber && node.isPresent()) {
                    job.accept(node.get());
                    drainNode();
                }
            };
            if (isFrozen) {
                waiting.add(guarded);
            } else {
                guarded.run();
            }
        }

        private void tick(final int expectedProcess) {
            clock.schedule(now() + TICK_INTERVAL, () -> {
                if (expectedProcess == processNumber) {
                    if (!isFrozen) {
                        step(n -> n.tick(localNow(), machineClock.wallNanos(now())));
                    }
                    tick(expectedProcess);
                }
            });
        }

        private void drainNode() {
            final Node running = node.orElseThrow();
            running.drain().forEach(this::handleEffect);
            running.drainFrames().forEach(this::sendFrame);
            monitor.checkConfirmedState(name, running, now(), localNow());
            if (nodes.startupGrace() > 0 && !isController() && index < GATEWAYS_WITH_DISK) {
                saved = Optional.of(running.gossip().stateToSave());
            }
            router.ifPresent(r -> {
                snapshot = running.clusterSnapshot();
                r.update(snapshot, localNow());
                final long served = servedRevision();
                monitor.checkServedRevision(name, newestServed, served, now());
                newestServed = Math.max(newestServed, served);
            });
        }

        private void handleEffect(final Effect effect) {
            final int expectedProcess = processNumber;
            switch (effect) {
                case Effect.Persist k ->
                    clock.schedule(now() + DISK_SYNC_DELAY, () -> {
                        if (expectedProcess == processNumber) {
                            k.records().forEach(this::append);
                            step(n -> n.onPersisted(k.token(), localNow()));
                        }
                    });
                case Effect.Respond a ->
                    Optional.ofNullable(pendingResponses.remove(a.token())).ifPresent(o -> o.accept(a.response()));
                case Effect.Log l -> {}
                case Effect.Send s -> throw new IllegalStateException("a node must send stamped frames only");
            }
        }

        private void append(final LogRecord logged) {
            if (logged instanceof LogRecord.Snapshot) {
                disk.clear();
            }
            disk.add(logged);
        }

        private void sendFrame(final OutgoingFrame outgoing) {
            final Machine to = machines.get(outgoing.to());
            final int here = connection;
            final int there = to.connection;
            final long delay = NETWORK_DELAY + links.addedDelay(name, to.name);
            clock.schedule(now() + delay, () -> deliverFrame(outgoing, to, here, there));
        }

        private void deliverFrame(final OutgoingFrame outgoing, final Machine to, final int here, final int there) {
            if (isFrozen) {
                waiting.add(() -> deliverFrame(outgoing, to, here, there));
            } else if (here == connection
                    && there == to.connection
                    && !links.isCut(name, to.name)
                    && to.node.isPresent()) {
                to.step(n -> n.onFrame(outgoing.frame(), to.localNow()));
            }
        }
    }
}
