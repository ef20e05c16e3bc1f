package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.gossip.Worker;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.node.OutgoingFrame;
import silverlatch.replication.ReplicaState;
import silverlatch.replication.ReplicaStatus;
import silverlatch.state.Command;
import silverlatch.wire.Frame;

/**
 * A simulated machine that runs the production {@link Node} and, on a gateway, the production {@link Dispatcher}, with simulated
 * disk, network and clocks. Its process can be started, killed, stopped and frozen; callbacks of one process never run in the
 * next one. The node's name is also its address. Durations are microseconds.
 */
final class SimulatedNode {
    private static final long TICK_INTERVAL = 20_000L;
    private static final long DELAYED_FRAMES_INTERVAL = 500L;
    private static final long GRACE_PERIOD = 3_000_000L;
    private static final long STOP_TIME = 4_500_000L;
    private static final long MAX_STATE_AGE = 2_500_000L;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final List<String> seeds;
    private final SimulatedClock clock;
    private final Optional<SimulatedDisk> disk;
    private final Optional<LogWriter> logWriter;
    private final StampChecker stampChecker;
    private final SimulatedGateway gateway;
    private final Map<Long, Consumer<Object>> pendingReplies = new HashMap<>();
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private Optional<Node> process = Optional.empty();
    private long generation;
    private long lastToken;
    private boolean frozen;
    private boolean ready;

    SimulatedNode(
            final World world,
            final String name,
            final String zone,
            final String region,
            final List<String> seeds,
            final boolean disk) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.seeds = List.copyOf(seeds);
        this.clock = new SimulatedClock(world.scheduler());
        this.disk = disk ? Optional.of(new SimulatedDisk(world.scheduler())) : Optional.empty();
        this.logWriter = this.disk.map(own -> new LogWriter(world, this, own));
        this.stampChecker = new StampChecker(world, this);
        this.gateway = new SimulatedGateway(world, this);
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    String region() {
        return region;
    }

    String address() {
        return name;
    }

    boolean isController() {
        return name.startsWith("controller");
    }

    SimulatedClock clock() {
        return clock;
    }

    Optional<SimulatedDisk> disk() {
        return disk;
    }

    StampChecker stampChecker() {
        return stampChecker;
    }

    /** Returns the node, or nothing while its process isn't running. */
    Optional<Node> process() {
        return process;
    }

    Optional<ClusterSnapshot> clusterSnapshot() {
        return gateway.clusterSnapshot();
    }

    /** Returns the request rates in the table that this gateway uses; each change of the table sets a rate of its own. */
    Set<String> rateValues() {
        return gateway.rateValues();
    }

    boolean isAlive() {
        return process.isPresent();
    }

    boolean isFrozen() {
        return frozen;
    }

    boolean isReady() {
        return ready && isAlive() && !frozen;
    }

    /** Returns a number that increases with each start and end of the process. */
    long generation() {
        return generation;
    }

    /** Returns the monotonic clock, in microseconds. */
    long now() {
        return clock.now();
    }

    /** Starts the process with the records on its disk, unless it is already running. */
    void start() {
        if (isAlive()) {
            return;
        }
        generation++;
        stampChecker.onStarted();
        clock.restart();
        pendingReplies.clear();
        final Node node = new NodeFactory(world).create(this, seeds);
        process = Optional.of(node);
        if (!isController()) {
            gateway.start(node);
        }
        scheduleTick(generation);
    }

    /** Ends the process as a power loss does: records that aren't synced to disk may be lost. */
    void kill() {
        if (!isAlive()) {
            return;
        }
        generation++;
        process = Optional.empty();
        ready = false;
        frozen = false;
        deferredTasks.clear();
        logWriter.ifPresent(LogWriter::losePower);
        gateway.kill();
    }

    /** Shuts the process down gracefully: it drains for 3 s, leaves the cluster, and ends 4.5 s after this call. */
    void stop() {
        gateway.stopAccepting();
        execute(() -> {
            process.ifPresent(node -> node.setReady(false));
            flush();
        });
        world.scheduler()
                .schedule(
                        GRACE_PERIOD,
                        () -> execute(() -> {
                            gateway.shutdown();
                            process.ifPresent(node -> node.leave(now()));
                            flush();
                        }));
        final long stoppingGeneration = generation;
        world.scheduler().schedule(STOP_TIME, () -> {
            if (stoppingGeneration == generation) {
                kill();
            }
        });
    }

    /** Freezes the process, or resumes it and runs the tasks that were deferred meanwhile. */
    void freeze(final boolean freeze) {
        if (!isAlive()) {
            return;
        }
        frozen = freeze;
        if (!freeze) {
            final List<Runnable> deferred = List.copyOf(deferredTasks);
            deferredTasks.clear();
            deferred.forEach(Runnable::run);
        }
    }

    /** Runs a task in the current process: at once, or on resume if the process is frozen. Drops it if the process ends first. */
    void execute(final Runnable task) {
        if (!isAlive()) {
            return;
        }
        final Runnable guarded = unlessProcessEnded(task);
        if (frozen) {
            deferredTasks.add(guarded);
        } else {
            guarded.run();
        }
    }

    private Runnable unlessProcessEnded(final Runnable task) {
        final long current = generation;
        return () -> {
            if (current == generation) {
                task.run();
            }
        };
    }

    /** Runs a task with the node, and then performs the effects that the node returns. */
    void executeOnNode(final Consumer<Node> task) {
        execute(() -> {
            process.ifPresent(task);
            flush();
        });
    }

    /** Passes a received frame to the node. */
    void frameReceived(final Frame frame) {
        executeOnNode(node -> {
            node.onFrame(frame, now());
            stampChecker.onFrameReceived(frame, node);
        });
    }

    /** Submits a command; {@code onReply} gets the result unless the process ends first. */
    void submit(final Command command, final long timeout, final Consumer<Object> onReply) {
        startQuery(onReply, (node, token) -> node.submit(command, token, now(), now() + timeout));
    }

    /** Submits a command whose caller has left, and cancels it when the close of its connection arrives. */
    void submitUntilClosed(final Command command, final long timeout, final long closeDelay) {
        startQuery(reply -> {}, (node, token) -> {
            node.submit(command, token, now(), now() + timeout);
            world.scheduler().schedule(closeDelay, () -> executeOnNode(closed -> closed.cancel(token, now())));
        });
    }

    /** Reads the entries with a key prefix; {@code onReply} gets the result unless the process ends first. */
    void read(final String keyPrefix, final long timeout, final Consumer<Object> onReply) {
        startQuery(onReply, (node, token) -> node.read(keyPrefix, token, now(), now() + timeout));
    }

    private void startQuery(final Consumer<Object> onReply, final ObjLongConsumer<Node> query) {
        execute(() -> {
            lastToken++;
            pendingReplies.put(lastToken, onReply);
            process.ifPresent(node -> query.accept(node, lastToken));
            flush();
        });
    }

    /** Passes on a worker's announcement; {@code onEcho} gets the echo that the worker must send with its next one. */
    void announce(final Worker report, final long echo, final LongConsumer onEcho) {
        executeOnNode(node -> onEcho.accept(node.onAnnouncement(report, echo, now())));
    }

    /** Opens a client's call. {@code onToken} receives its token, {@code onEffect} the dispatcher's effects for that token. */
    void openCall(
            final ObjLongConsumer<Dispatcher> call,
            final Consumer<DispatchEffect> onEffect,
            final LongConsumer onToken) {
        execute(() -> {
            lastToken++;
            onToken.accept(lastToken);
            gateway.openCall(lastToken, call, onEffect);
            flush();
        });
    }

    /** Runs a task with the dispatcher if this is a gateway. */
    void withDispatcher(final Consumer<Dispatcher> task) {
        execute(() -> {
            gateway.withDispatcher(task);
            flush();
        });
    }

    /** Closes a client's call, as if the client had disconnected. */
    void disconnectClient(final long callToken) {
        execute(() -> {
            gateway.disconnectClient(callToken);
            flush();
        });
    }

    private void scheduleTick(final long startedGeneration) {
        if (startedGeneration != generation) {
            return;
        }
        execute(() -> {
            process.ifPresent(node -> node.tick(now(), clock.wallNanos()));
            flush();
            process.ifPresent(this::updateReadiness);
        });
        world.scheduler().schedule(TICK_INTERVAL, () -> scheduleTick(startedGeneration));
    }

    private void updateReadiness(final Node node) {
        ready = isController() ? isControllerReady(node) : gateway.tick(ready);
        node.setReady(ready);
        flush();
    }

    private boolean isControllerReady(final Node node) {
        return node.chainReplica()
                .map(replica -> {
                    final ReplicaStatus status = replica.status(now());
                    return status.state() == ReplicaState.IN_CHAIN && status.isCaughtUp() && status.isLeased();
                })
                .orElse(node.gossip().stateAge(now()) < MAX_STATE_AGE);
    }

    /** Performs the effects of the node and the dispatcher until neither returns another. */
    private void flush() {
        if (process.isEmpty()) {
            return;
        }
        final Node node = process.get();
        boolean hasMore = true;
        while (hasMore && isAlive()) {
            gateway.updateSnapshot(node);
            final List<OutgoingFrame> frames = node.drainFrames();
            frames.forEach(frame -> world.frames().send(this, frame));
            final List<Effect> effects = node.drain();
            effects.forEach(this::perform);
            hasMore = gateway.performEffects() || !effects.isEmpty();
        }
        if (isAlive() && node.hasDelayedFrames()) {
            world.scheduler()
                    .schedule(
                            DELAYED_FRAMES_INTERVAL,
                            unlessProcessEnded(() -> executeOnNode(running -> running.tick(now(), clock.wallNanos()))));
        }
    }

    private void perform(final Effect effect) {
        if (frozen) {
            execute(() -> perform(effect));
            return;
        }
        world.listener().effect(world.scheduler().now(), name, effect);
        switch (effect) {
            case Effect.Respond respond ->
                Optional.ofNullable(pendingReplies.remove(respond.token()))
                        .ifPresent(answer -> answer.accept(respond.response()));
            case Effect.SaveReports save ->
                throw new IllegalStateException(
                        "no report storage was opened, as workers announce themselves to any node");
            case Effect.Persist write -> logWriter.ifPresent(writer -> writer.write(write));
            case Effect.Log log -> {
                world.observer().count("log-" + log.event());
                stampChecker.onLogged(log.event());
                world.log(this, log);
            }
            case Effect.Send send -> throw new IllegalStateException("the node returned a message without a stamp");
        }
    }
}
