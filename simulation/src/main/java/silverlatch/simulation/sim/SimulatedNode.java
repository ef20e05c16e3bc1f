package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PhysicalClock;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.node.OutgoingFrame;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.replication.ReplicaState;
import silverlatch.replication.ReplicaStatus;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;
import silverlatch.wire.Frame;

/** A daemon in the simulator: the shipping deck and, for a gateway, the shipping carry, with fakes for the world around. */
final class SimulatedNode {
    private static final long TICK_INTERVAL = 20_000L;
    private static final long MAX_CLOCK_SKEW = 50_000L;
    private static final long MAX_CLOCK_LEAD = 80_000L;
    private static final long WALL_CLOCK_START = 1_790_000_000_000_000L;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final String address;
    private final List<String> seeds;
    private final Optional<SimulatedDisk> disk;
    private boolean recovering;
    private final long skew;
    private final Map<Long, Consumer<Object>> pendingAnswers = new HashMap<>();
    private final Map<Long, Consumer<DispatchEffect>> openCalls = new HashMap<>();
    private final Map<Long, Consumer<String>> openRuns = new HashMap<>();
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final Map<Event, Long> loggedEvents = new HashMap<>();
    private Optional<Node> process = Optional.empty();
    private Optional<Dispatcher> dispatcher = Optional.empty();
    private Optional<ClusterSnapshot> clusterSnapshot = Optional.empty();
    private long generation;
    private long clockBase;
    private double clockRate = 1;
    private long wall;
    private boolean frozen;
    private long nextToken;
    private boolean ready;
    private long highestHeard;
    private long highestSent;
    private long incarnation;
    private long clockResetAt;

    SimulatedNode(
            final World world,
            final String name,
            final String zone,
            final String region,
            final String address,
            final List<String> seeds,
            final boolean disk) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.address = address;
        this.seeds = seeds;
        this.skew = world.scheduler().random().nextLong(30_000) - 15_000;
        this.disk = disk ? Optional.of(new SimulatedDisk(world.scheduler())) : Optional.empty();
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
        return address;
    }

    boolean isController() {
        return name.startsWith("controller");
    }

    Optional<SimulatedDisk> disk() {
        return disk;
    }

    Optional<Node> process() {
        return process;
    }

    Optional<Dispatcher> dispatcher() {
        return dispatcher;
    }

    Optional<ClusterSnapshot> clusterSnapshot() {
        return clusterSnapshot;
    }

    boolean isAlive() {
        return process.isPresent();
    }

    boolean ready() {
        return ready && isAlive() && !frozen;
    }

    long loggedCount(final Event event) {
        return loggedEvents.getOrDefault(event, 0L);
    }

    long generation() {
        return generation;
    }

    long now() {
        return clockBase + (long) (world.scheduler().now() * clockRate);
    }

    private long wall() {
        return WALL_CLOCK_START * 1000 + (world.scheduler().now() + wall + skew) * 1000;
    }

    /** The wall clock is off by so many microseconds from now on. */
    void clock(final long offset) {
        wall = offset;
    }

    void start() {
        if (isAlive()) {
            return;
        }
        generation++;
        highestHeard = 0;
        highestSent = 0;
        clockResetAt = world.scheduler().now();
        clockBase = world.scheduler().random().nextLong(1_000_000_000_000L);
        clockRate = 1 + (world.scheduler().random().nextDouble() - 0.5) * 1e-4;
        pendingAnswers.clear();
        final List<String> controllers =
                world.controllers().stream().map(SimulatedNode::address).toList();
        final List<String> seeds = controllers.stream().anyMatch(this.seeds::contains) ? this.seeds : controllers;
        final Member member = new Member(
                name,
                isController() ? "controller" : "gateway",
                zone,
                region,
                address,
                address,
                wall() / 1000,
                0,
                "up",
                false);
        final Optional<ReplicaSettings> chain = disk.map(simulatedDisk -> {
            return ReplicaSettings.of(new Replica(simulatedDisk.identity(), address), seeds);
        });
        final Node started = new Node(
                new Node.Settings(
                        member,
                        seeds,
                        7,
                        50_000,
                        Membership.Settings.DEFAULTS,
                        Gossip.Settings.DEFAULTS,
                        world.safeguards()),
                chain,
                disk.map(SimulatedDisk::records).orElse(List.of()),
                new PhysicalClock(wall(), now(), 0),
                world.scheduler().random().split(),
                now());
        process = Optional.of(started);
        if (!isController()) {
            clusterSnapshot = Optional.of(started.facts());
            dispatcher = Optional.of(new Dispatcher(
                    DispatcherSettings.DEFAULT.withSafeguards(world.safeguards()),
                    new PermitSigner("simulated-cluster-key"),
                    started.facts(),
                    () -> started.localStamp(now()),
                    world.scheduler().random().split()));
        }
        scheduleTick(generation);
    }

    /** The process ends at once; with the power also what was not synced is gone. */
    void kill() {
        if (!isAlive()) {
            return;
        }
        generation++;
        recovering = false;
        process = Optional.empty();
        dispatcher = Optional.empty();
        ready = false;
        frozen = false;
        deferredTasks.clear();
        disk.ifPresent(SimulatedDisk::losePower);
        final List<Consumer<DispatchEffect>> brokenCalls = List.copyOf(openCalls.values());
        openCalls.clear();
        brokenCalls.forEach(c -> c.accept(new DispatchEffect.Rejected(0, 0, "", "the connection broke", 0, "")));
        final List<Consumer<String>> brokenRuns = List.copyOf(openRuns.values());
        openRuns.clear();
        brokenRuns.forEach(r -> r.accept("cut"));
    }

    /** Stops in good order, as a process does when it is asked to. */
    void stop() {
        dispatcher.ifPresent(Dispatcher::stopAccepting);
        execute(() -> {
            process.ifPresent(d -> d.setReady(false));
            flush();
        });
        world.scheduler()
                .schedule(
                        3_000_000,
                        () -> execute(() -> {
                            dispatcher.ifPresent(c -> c.shutdown(now()));
                            process.ifPresent(d -> d.leave(now()));
                            flush();
                        }));
        final long stoppingIn = generation;
        world.scheduler().schedule(4_500_000, () -> {
            if (stoppingIn == generation) {
                kill();
            }
        });
    }

    /** The process freezes or wakes. */
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

    /** Does something in this process, unless it has ended since; when it is frozen, once it wakes. */
    void execute(final Runnable task) {
        if (!isAlive()) {
            return;
        }
        final long postedIn = generation;
        final Runnable guardedTask = () -> {
            if (postedIn == generation) {
                task.run();
            }
        };
        if (frozen) {
            deferredTasks.add(guardedTask);
        } else {
            guardedTask.run();
        }
    }

    void frameReceived(final Frame received) {
        execute(() -> {
            process.ifPresent(node -> {
                node.onFrame(received, now());
                recordHeardStamp(received, node);
            });
            flush();
        });
    }

    void submit(final Command command, final long timeout, final Consumer<Object> whenAnswered) {
        execute(() -> {
            nextToken++;
            pendingAnswers.put(nextToken, whenAnswered);
            process.ifPresent(d -> d.submit(command, nextToken, now(), now() + timeout));
            flush();
        });
    }

    void read(final String start, final long timeout, final Consumer<Object> whenAnswered) {
        execute(() -> {
            nextToken++;
            pendingAnswers.put(nextToken, whenAnswered);
            process.ifPresent(d -> d.read(start, nextToken, now(), now() + timeout));
            flush();
        });
    }

    void announce(final Worker report, final long echo, final Consumer<Long> whenEchoed) {
        execute(() -> {
            process.ifPresent(d -> whenEchoed.accept(d.onAnnouncement(report, echo, now())));
            flush();
        });
    }

    /** A consumer's call: the job gets the token and the carry; the acts for the token come back. */
    void call(
            final java.util.function.ObjLongConsumer<Dispatcher> call,
            final Consumer<DispatchEffect> onAction,
            final Consumer<Long> callToken) {
        execute(() -> {
            nextToken++;
            openCalls.put(nextToken, onAction);
            callToken.accept(nextToken);
            dispatcher.ifPresent(c -> call.accept(c, nextToken));
            flush();
        });
    }

    void withDispatcher(final Consumer<Dispatcher> task) {
        execute(() -> {
            dispatcher.ifPresent(task);
            flush();
        });
    }

    void hangUp(final long callToken) {
        execute(() -> {
            openCalls.remove(callToken);
            dispatcher.ifPresent(c -> c.readerDisconnected(callToken, now()));
            flush();
        });
    }

    private void scheduleTick(final long startedIn) {
        if (startedIn != generation) {
            return;
        }
        execute(() -> {
            process.ifPresent(d -> d.tick(now(), wall()));
            flush();
            process.ifPresent(this::updateReadiness);
        });
        world.scheduler().schedule(TICK_INTERVAL, () -> scheduleTick(startedIn));
    }

    private void updateReadiness(final Node node) {
        if (isController()) {
            ready = node.chainReplica()
                    .map(replica -> {
                        final ReplicaStatus state = replica.status(now());
                        return state.state() == ReplicaState.IN_CHAIN && state.isCaughtUp() && state.isLeased();
                    })
                    .orElse(node.gossip().stateAge(now()) < 2_500_000L);
        } else {
            dispatcher.ifPresent(running -> {
                running.tick(now());
                ready = running.unreadyReason(now()).isEmpty();
            });
        }
        node.setReady(ready);
        flush();
    }

    private void flush() {
        if (process.isEmpty()) {
            return;
        }
        final Node node = process.get();
        boolean hasMore = true;
        while (hasMore && isAlive()) {
            dispatcher.ifPresent(running -> {
                final ClusterSnapshot snapshot = node.facts();
                clusterSnapshot = Optional.of(snapshot);
                running.update(snapshot, now());
            });
            final List<OutgoingFrame> frames = node.drainFrames();
            frames.forEach(s -> world.send(this, s));
            final List<Effect> effects = node.drain();
            effects.forEach(this::perform);
            final List<DispatchEffect> actions =
                    dispatcher.map(Dispatcher::drainEffects).orElse(List.of());
            actions.forEach(this::performAction);
            hasMore = !effects.isEmpty() || !actions.isEmpty();
        }
        if (isAlive() && node.hasDelayedFrames()) {
            final long parkedIn = generation;
            world.scheduler().schedule(500, () -> {
                if (parkedIn == generation) {
                    execute(() -> {
                        process.ifPresent(x -> x.tick(now(), wall()));
                        flush();
                    });
                }
            });
        }
    }

    /** What the observer knows of stamps: a frame said must be above all that was heard in bounds, and said, before. */
    void checkSentStamp(final Frame sent) {
        final Stamp stamp = sent.stamp();
        world.observer().exercise(Invariant.STAMP);
        if (sent.incarnation() != incarnation) {
            incarnation = sent.incarnation();
            highestSent = 0;
            highestHeard = process.filter(d -> !isWithinSkew(highestHeard, d)).isPresent() ? 0 : highestHeard;
        }
        if (stamp.bits() <= Math.max(highestSent, highestHeard)) {
            world.observer()
                    .violated(
                            Invariant.STAMP,
                            name + " said " + stamp.bits() + " after it heard " + highestHeard + " and said "
                                    + highestSent);
        }
        highestSent = Math.max(highestSent, stamp.bits());
        if (world.isClockSkewRecent() && wall == 0 && world.scheduler().now() - clockResetAt > 10_000_000L) {
            world.observer().exercise(Invariant.DRAG);
            final long ahead = NtpTime.toMicros(Math.max(0, stamp.bits() - clock()));
            if (ahead > MAX_CLOCK_LEAD) {
                world.observer().violated(Invariant.DRAG, name + " is " + ahead / 1000 + " ms ahead of true time");
            }
        }
    }

    private void recordHeardStamp(final Frame received, final Node node) {
        if (!node.hasDelayedFrames() && isWithinSkew(received.stamp().bits(), node)) {
            highestHeard = Math.max(highestHeard, received.stamp().bits());
        }
    }

    /** Whether a stamp is one that this daemon may believe by its physical clock as it is now. */
    private boolean isWithinSkew(final long stampBits, final Node node) {
        return stampBits - node.physicalClock().physicalTime(now()) <= NtpTime.fromMicros(MAX_CLOCK_SKEW);
    }

    private long clock() {
        return NtpTime.fromUnixNanos((WALL_CLOCK_START + world.scheduler().now()) * 1000);
    }

    private void perform(final Effect effect) {
        if (frozen) {
            execute(() -> perform(effect));
            return;
        }
        world.listener().effect(world.scheduler().now(), name, effect);
        switch (effect) {
            case Effect.Respond a ->
                Optional.ofNullable(pendingAnswers.remove(a.token())).ifPresent(c -> c.accept(a.response()));
            case Effect.Persist write -> {
                final long writtenIn = generation;
                disk.ifPresent(simulatedDisk -> simulatedDisk.write(
                        write,
                        token -> {
                            if (writtenIn == generation) {
                                if (write.records().stream().anyMatch(LogRecord.Appended.class::isInstance)) {
                                    process.ifPresent(this::reportSync);
                                }
                                execute(() -> {
                                    process.ifPresent(d -> d.onPersisted(token, now()));
                                    flush();
                                });
                            }
                        },
                        why -> execute(() -> {
                            process.ifPresent(d -> d.onDiskFailed(why, now()));
                            flush();
                            reopenLogLater(writtenIn);
                        })));
            }
            case Effect.Log log -> {
                loggedEvents.merge(log.event(), 1L, Long::sum);
                world.observer().count("log-" + log.event());
                clockResetAt = log.event() == Event.REJOIN ? world.scheduler().now() : clockResetAt;
                world.log(this, log);
            }
            case Effect.Send s -> throw new IllegalStateException("a send left the deck unstamped");
        }
    }

    /** Opens the log again each second after a failed write, until the disk takes writes. */
    private void reopenLogLater(final long failedIn) {
        if (recovering) {
            return;
        }
        recovering = true;
        world.scheduler().schedule(1_000_000, () -> {
            recovering = false;
            if (failedIn != generation) {
                return;
            }
            if (disk.map(SimulatedDisk::full).orElse(true)) {
                reopenLogLater(failedIn);
                return;
            }
            final List<LogRecord> records = disk.get().reopen();
            execute(() -> {
                process.ifPresent(d -> d.onDiskRecovered(records, now()));
                flush();
            });
        });
    }

    private void reportSync(final Node node) {
        final String id = disk.map(SimulatedDisk::identity).orElse("");
        if (node.view().head().map(b -> b.id().equals(id)).orElse(false)) {
            world.reached(InjectionPoint.HEAD_SYNCED, this);
        } else if (node.view().tail().map(b -> b.id().equals(id)).orElse(false)) {
            world.reached(InjectionPoint.TAIL_SYNCED, this);
        }
    }

    private void reportInjectionPoint(final DispatchEffect action) {
        switch (action) {
            case DispatchEffect.Placed p -> world.reached(InjectionPoint.PLACED, this);
            case DispatchEffect.SubmitCommand claim -> {
                if (claim.command() instanceof Command.Claim) {
                    world.reached(InjectionPoint.CLAIMING, this);
                }
            }
            case DispatchEffect.StartAttempt r -> world.reached(InjectionPoint.SENDING, this);
            default -> {}
        }
    }

    private void performAction(final DispatchEffect action) {
        if (!isAlive()) {
            return;
        }
        if (!(action instanceof DispatchEffect.Placed)) {
            reportInjectionPoint(action);
        }
        if (frozen) {
            execute(() -> performAction(action));
            return;
        }
        world.listener().action(world.scheduler().now(), name, action);
        switch (action) {
            case DispatchEffect.Placed placed -> {
                call(placed.callId(), action, true);
                reportInjectionPoint(action);
            }
            case DispatchEffect.Redirected placed -> call(placed.callId(), action, true);
            case DispatchEffect.Rejected run -> call(run.callId(), action, true);
            case DispatchEffect.StreamWrite f -> call(f.callId(), action, f.endOfStream());
            case DispatchEffect.StartAttempt run -> {
                if (now() > run.sendDeadline()) {
                    dispatcher.ifPresent(
                            claim -> claim.attemptFailed(run.operationId(), false, "it was not sent in time", now()));
                } else {
                    world.startRun(this, run, openRuns);
                }
            }
            case DispatchEffect.CancelAttempt claim ->
                Optional.ofNullable(openRuns.remove(claim.operationId())).ifPresent(j -> j.accept("cut"));
            case DispatchEffect.SubmitCommand claim -> {
                submit(
                        claim.command(),
                        claim.timeout(),
                        v -> dispatcher.ifPresent(x -> x.claimDecided(claim.operationId(), (CommandResult) v, now())));
            }
            case DispatchEffect.PlacementDecided j -> world.observer().count("judged");
            case DispatchEffect.RequestEnded e -> world.observer().count("ended-" + e.state());
            case DispatchEffect.Log log -> {
                loggedEvents.merge(log.event(), 1L, Long::sum);
                world.log(this, new Effect.Log(log.event(), log.text()));
            }
        }
    }

    private void call(final long callToken, final DispatchEffect action, final boolean last) {
        Optional.ofNullable(last ? openCalls.remove(callToken) : openCalls.get(callToken))
                .ifPresent(c -> c.accept(action));
    }

    /** The values of the marked cells that this daemon goes by. */
    Set<String> followedValues() {
        final Set<String> values = new HashSet<>();
        clusterSnapshot.ifPresent(snapshot -> snapshot.policy().values().forEach(value -> {
            if (value instanceof Value.Row row) {
                values.add(Operators.cellValue(row.requestsPerSecond()));
            }
        }));
        return values;
    }
}
