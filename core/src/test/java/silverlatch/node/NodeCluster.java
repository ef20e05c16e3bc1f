package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Worker;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;

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
    private final Map<String, ClusterMachine> machines = new TreeMap<>();
    private final ClusterLinks links = new ClusterLinks();
    private final ConsistencyMonitor monitor = new ConsistencyMonitor();
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
        final SplittableRandom random = new SplittableRandom(seed);
        final NodeFactory nodes = new NodeFactory(startupGrace, safeguards, random);
        final ClusterMachine.Surroundings surroundings =
                new ClusterMachine.Surroundings(nodes, machines, links, monitor, random, clock);
        for (int i = 0; i < controllers; i++) {
            machines.put("c" + i, new ClusterMachine("c" + i, i, surroundings));
        }
        for (int i = 0; i < gateways; i++) {
            machines.put("g" + i, new ClusterMachine("g" + i, i, surroundings));
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
        return machines.get(name).node();
    }

    /** Returns the revision by which a gateway routes requests; 0 while it accepts none. */
    long servedRevision(final String gateway) {
        return machines.get(gateway).servedRevision();
    }

    boolean isReady(final String gateway) {
        return machines.get(gateway).router().unreadyReason().isEmpty();
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
        machines.get(name).machineClock().step(by);
    }

    /** Cuts a machine's power: its process ends, and its monotonic clock restarts at the next start. */
    void powerOff(final String name) {
        kill(name);
        machines.get(name).machineClock().powerOff();
    }

    ClusterLinks links() {
        return links;
    }

    /** Drops all frames in flight from and to a machine. */
    void resetConnections(final String name) {
        machines.get(name).resetConnections();
    }

    /** Pauses a machine's process; frames that it sent but that weren't delivered yet, and incoming frames, wait until it is resumed. */
    void freeze(final String name) {
        machines.get(name).freeze();
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

    /** Sets how long each write to the disks takes until it is synced, in microseconds. */
    void setDiskSyncDelay(final long micros) {
        machines.values().forEach(machine -> machine.disk().setSyncDelay(micros));
    }

    /** Makes a machine's disk accept no further writes; what it holds stays. */
    void stallDisk(final String name) {
        machines.get(name).disk().stall();
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
        machines.get(at).awaitResponse(token, r -> pending.complete((Boolean) r, now()));
        machines.get(at).step(n -> n.confirmReport(workerId, token, localNow(at), localNow(at) + CONFIRMATION_TIMEOUT));
        return pending;
    }

    PendingCommand put(final String at, final long number, final long match) {
        return put(at, Configurations.configuration("order-" + number + "-" + match, number, match));
    }

    PendingCommand put(final String at, final Command command) {
        final PendingCommand pending = new PendingCommand(now());
        final long token = ++lastToken;
        machines.get(at).awaitResponse(token, r -> {
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
        machines.get(at).awaitResponse(token, answers::add);
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
}
