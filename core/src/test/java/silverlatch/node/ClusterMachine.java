package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.routing.Router;

/** A machine with its disk, its process if one is running, and the tasks that wait while the process is paused. */
final class ClusterMachine {
    private static final long TICK_INTERVAL = 20_000L;
    private static final long NETWORK_DELAY = 10_000L;
    private static final int GATEWAYS_WITH_DISK = 2;

    /**
     * What the machines of a cluster share.
     *
     * @param nodes    creates the nodes
     * @param machines all machines by name
     * @param links    the links between the machines
     * @param monitor  checks each step of a node
     * @param random   the source of randomness
     * @param clock    the clock of the simulation
     */
    record Surroundings(
            NodeFactory nodes,
            Map<String, ClusterMachine> machines,
            ClusterLinks links,
            ConsistencyMonitor monitor,
            SplittableRandom random,
            SimulatedClock clock) {}

    private final String name;
    private final int index;
    private final Surroundings surroundings;
    private final MachineDisk disk;
    private final List<Runnable> waiting = new ArrayList<>();
    private final Map<Long, Consumer<Object>> pendingResponses = new HashMap<>();
    private final MachineClock machineClock = new MachineClock();
    private Optional<Node> node = Optional.empty();
    private Optional<Router> router = Optional.empty();
    private boolean isFrozen;
    private boolean isFirstStart = true;
    private int processNumber;
    private int connection;
    private long newestServed;
    private ClusterSnapshot snapshot;

    ClusterMachine(final String name, final int index, final Surroundings surroundings) {
        this.name = name;
        this.index = index;
        this.surroundings = surroundings;
        this.disk = new MachineDisk("id-" + name);
    }

    private long now() {
        return surroundings.clock().now();
    }

    /** Returns the node of the running process. */
    Node node() {
        return node.orElseThrow();
    }

    /** Returns the router of the running process of a gateway. */
    Router router() {
        return router.orElseThrow();
    }

    MachineClock machineClock() {
        return machineClock;
    }

    MachineDisk disk() {
        return disk;
    }

    /** Passes the response for a token to a consumer. */
    void awaitResponse(final long token, final Consumer<Object> onResponse) {
        pendingResponses.put(token, onResponse);
    }

    /** Drops all frames in flight from and to this machine. */
    void resetConnections() {
        connection++;
    }

    void freeze() {
        isFrozen = true;
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
        node = Optional.of(surroundings
                .nodes()
                .create(
                        new NodeFactory.Host(name, index, disk.identity(), isFirstStart, disk.records(), machineClock),
                        seeds,
                        now()));
        isFirstStart = false;
        if (hasDisk()) {
            disk.restore(node.get().gossip(), localNow());
        }
        snapshot = node.get().clusterSnapshot();
        router = isController() ? Optional.empty() : Optional.of(newRouter(snapshot));
        tick(processNumber);
    }

    private Router newRouter(final ClusterSnapshot first) {
        return new Router(
                Router.Settings.DEFAULT,
                first,
                () -> new Stamp(now()),
                surroundings.random().split());
    }

    void kill() {
        processNumber++;
        node = Optional.empty();
        router = Optional.empty();
        waiting.clear();
    }

    boolean hasDisk() {
        return isController() || index < GATEWAYS_WITH_DISK;
    }

    void wipeDisk() {
        disk.wipe("id-" + name + "-" + now());
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
        surroundings.clock().schedule(now() + TICK_INTERVAL, () -> {
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
        surroundings.monitor().checkConfirmedState(name, running, now(), localNow());
        if (surroundings.nodes().startupGrace() > 0 && !isController() && index < GATEWAYS_WITH_DISK) {
            disk.saveConfiguration(running.gossip().stateToSave());
        }
        router.ifPresent(r -> {
            snapshot = running.clusterSnapshot();
            r.update(snapshot, localNow());
            final long served = servedRevision();
            surroundings.monitor().checkServedRevision(name, newestServed, served, now());
            newestServed = Math.max(newestServed, served);
        });
    }

    private void handleEffect(final Effect effect) {
        final int expectedProcess = processNumber;
        switch (effect) {
            case Effect.Persist k ->
                afterSync(expectedProcess, () -> {
                    disk.append(k.records());
                    step(n -> n.onPersisted(k.token(), localNow()));
                });
            case Effect.SaveReports save ->
                afterSync(expectedProcess, () -> {
                    disk.saveReports(save.reports());
                    step(n -> n.onReportsSaved(save.token(), localNow()));
                });
            case Effect.Respond a ->
                Optional.ofNullable(pendingResponses.remove(a.token())).ifPresent(o -> o.accept(a.response()));
            case Effect.Log l -> {}
            case Effect.Send s -> throw new IllegalStateException("a node must send stamped frames only");
        }
    }

    /** Runs a task once the disk has synced a write, unless the process ends before or the disk is stalled. */
    private void afterSync(final int expectedProcess, final Runnable task) {
        surroundings.clock().schedule(now() + disk.syncDelay(), () -> {
            if (expectedProcess == processNumber && !disk.isStalled()) {
                task.run();
            }
        });
    }

    private void sendFrame(final OutgoingFrame outgoing) {
        final ClusterMachine to = surroundings.machines().get(outgoing.to());
        final int here = connection;
        final int there = to.connection;
        final long delay = NETWORK_DELAY + surroundings.links().addedDelay(name, to.name);
        surroundings.clock().schedule(now() + delay, () -> deliverFrame(outgoing, to, here, there));
    }

    private void deliverFrame(final OutgoingFrame outgoing, final ClusterMachine to, final int here, final int there) {
        if (isFrozen) {
            waiting.add(() -> deliverFrame(outgoing, to, here, there));
        } else if (here == connection
                && there == to.connection
                && !surroundings.links().isCut(name, to.name)
                && to.node.isPresent()) {
            to.step(n -> n.onFrame(outgoing.frame(), to.localNow()));
        }
    }
}
