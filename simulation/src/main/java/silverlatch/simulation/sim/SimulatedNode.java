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
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;
import silverlatch.wire.Frame;

/** A daemon in the simulator: the shipping deck and, for a gateway, the shipping carry, with fakes for the world around. */
final class SimulatedNode {
    private static final long BEAT = 20_000L;
    private static final long SKEW = 50_000L;
    private static final long DRAGGED = 80_000L;
    private static final long EPOCH = 1_790_000_000_000_000L;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final String address;
    private final List<String> seeds;
    private final Optional<Disk> disk;
    private boolean recovering;
    private final long skew;
    private final Map<Long, Consumer<Object>> asked = new HashMap<>();
    private final Map<Long, Consumer<DispatchEffect>> calls = new HashMap<>();
    private final Map<Long, Consumer<String>> jobs = new HashMap<>();
    private final List<Runnable> frozen = new ArrayList<>();
    private final Map<Event, Long> logs = new HashMap<>();
    private Optional<Node> deck = Optional.empty();
    private Optional<Dispatcher> carry = Optional.empty();
    private Optional<ClusterSnapshot> facts = Optional.empty();
    private long epoch;
    private long base;
    private double rate = 1;
    private long wall;
    private boolean cold;
    private long token;
    private boolean ready;
    private long top;
    private long said;
    private long life;
    private long reset;

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
        this.skew = world.engine().luck().nextLong(30_000) - 15_000;
        this.disk = disk ? Optional.of(new Disk(world.engine())) : Optional.empty();
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

    boolean controller() {
        return name.startsWith("controller");
    }

    Optional<Disk> disk() {
        return disk;
    }

    Optional<Node> deck() {
        return deck;
    }

    Optional<Dispatcher> carry() {
        return carry;
    }

    Optional<ClusterSnapshot> facts() {
        return facts;
    }

    boolean alive() {
        return deck.isPresent();
    }

    boolean ready() {
        return ready && alive() && !cold;
    }

    long logged(final Event e) {
        return logs.getOrDefault(e, 0L);
    }

    long epoch() {
        return epoch;
    }

    long now() {
        return base + (long) (world.engine().now() * rate);
    }

    private long wall() {
        return EPOCH * 1000 + (world.engine().now() + wall + skew) * 1000;
    }

    /** The wall clock is off by so many microseconds from now on. */
    void clock(final long off) {
        wall = off;
    }

    void start() {
        if (alive()) {
            return;
        }
        epoch++;
        top = 0;
        said = 0;
        reset = world.engine().now();
        base = world.engine().luck().nextLong(1_000_000_000_000L);
        rate = 1 + (world.engine().luck().nextDouble() - 0.5) * 1e-4;
        asked.clear();
        final List<String> around =
                world.controllers().stream().map(SimulatedNode::address).toList();
        final List<String> seeds = around.stream().anyMatch(this.seeds::contains) ? this.seeds : around;
        final Member me = new Member(
                name,
                controller() ? "controller" : "gateway",
                zone,
                region,
                address,
                address,
                wall() / 1000,
                0,
                "up",
                false);
        final Optional<ChainReplica.ReplicaSettings> chain = disk.map(d -> {
            return ChainReplica.ReplicaSettings.of(new Replica(d.identity(), address), seeds);
        });
        final Node made = new Node(
                new Node.Settings(
                        me, seeds, 7, 50_000, Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS, world.guards()),
                chain,
                disk.map(Disk::notes).orElse(List.of()),
                new PhysicalClock(wall(), now(), 0),
                world.engine().luck().split(),
                now());
        deck = Optional.of(made);
        if (!controller()) {
            facts = Optional.of(made.facts());
            carry = Optional.of(new Dispatcher(
                    Dispatcher.Settings.DEFAULT.withSafeguards(world.guards()),
                    new PermitSigner("simulated-cluster-key"),
                    made.facts(),
                    () -> made.localStamp(now()),
                    world.engine().luck().split()));
        }
        beat(epoch);
    }

    /** The process ends at once; with the power also what was not synced is gone. */
    void kill() {
        if (!alive()) {
            return;
        }
        epoch++;
        recovering = false;
        deck = Optional.empty();
        carry = Optional.empty();
        ready = false;
        cold = false;
        frozen.clear();
        disk.ifPresent(Disk::power);
        final List<Consumer<DispatchEffect>> open = List.copyOf(calls.values());
        calls.clear();
        open.forEach(c -> c.accept(new DispatchEffect.Rejected(0, 0, "", "the connection broke", 0, "")));
        final List<Consumer<String>> runs = List.copyOf(jobs.values());
        jobs.clear();
        runs.forEach(r -> r.accept("cut"));
    }

    /** Stops in good order, as a process does when it is asked to. */
    void stop() {
        carry.ifPresent(Dispatcher::stopAccepting);
        post(() -> {
            deck.ifPresent(d -> d.setReady(false));
            flush();
        });
        world.engine()
                .in(
                        3_000_000,
                        () -> post(() -> {
                            carry.ifPresent(c -> c.shutdown(now()));
                            deck.ifPresent(d -> d.leave(now()));
                            flush();
                        }));
        final long mine = epoch;
        world.engine().in(4_500_000, () -> {
            if (mine == epoch) {
                kill();
            }
        });
    }

    /** The process freezes or wakes. */
    void freeze(final boolean on) {
        if (!alive()) {
            return;
        }
        cold = on;
        if (!on) {
            final List<Runnable> all = List.copyOf(frozen);
            frozen.clear();
            all.forEach(Runnable::run);
        }
    }

    /** Does something in this process, unless it has ended since; when it is frozen, once it wakes. */
    void post(final Runnable job) {
        if (!alive()) {
            return;
        }
        final long mine = epoch;
        final Runnable guarded = () -> {
            if (mine == epoch) {
                job.run();
            }
        };
        if (cold) {
            frozen.add(guarded);
        } else {
            guarded.run();
        }
    }

    void frame(final Frame f) {
        post(() -> {
            deck.ifPresent(d -> {
                d.onFrame(f, now());
                heard(f, d);
            });
            flush();
        });
    }

    void wish(final Command w, final long span, final Consumer<Object> then) {
        post(() -> {
            token++;
            asked.put(token, then);
            deck.ifPresent(d -> d.submit(w, token, now(), now() + span));
            flush();
        });
    }

    void read(final String start, final long span, final Consumer<Object> then) {
        post(() -> {
            token++;
            asked.put(token, then);
            deck.ifPresent(d -> d.read(start, token, now(), now() + span));
            flush();
        });
    }

    void announced(final Worker w, final long echo, final Consumer<Long> then) {
        post(() -> {
            deck.ifPresent(d -> then.accept(d.onAnnouncement(w, echo, now())));
            flush();
        });
    }

    /** A consumer's call: the job gets the token and the carry; the acts for the token come back. */
    void call(
            final java.util.function.ObjLongConsumer<Dispatcher> job,
            final Consumer<DispatchEffect> back,
            final Consumer<Long> number) {
        post(() -> {
            token++;
            calls.put(token, back);
            number.accept(token);
            carry.ifPresent(c -> job.accept(c, token));
            flush();
        });
    }

    void carrying(final Consumer<Dispatcher> job) {
        post(() -> {
            carry.ifPresent(job);
            flush();
        });
    }

    void hangUp(final long number) {
        post(() -> {
            calls.remove(number);
            carry.ifPresent(c -> c.readerDisconnected(number, now()));
            flush();
        });
    }

    private void beat(final long mine) {
        if (mine != epoch) {
            return;
        }
        post(() -> {
            deck.ifPresent(d -> d.tick(now(), wall()));
            flush();
            deck.ifPresent(this::look);
        });
        world.engine().in(BEAT, () -> beat(mine));
    }

    private void look(final Node d) {
        if (controller()) {
            ready = d.chainReplica()
                    .map(q -> {
                        final ChainReplica.ReplicaStatus s = q.status(now());
                        return s.state().equals("chained") && s.isCaughtUp() && s.isLeased();
                    })
                    .orElse(d.gossip().stateAge(now()) < 2_500_000L);
        } else {
            carry.ifPresent(c -> {
                c.tick(now());
                ready = c.unreadyReason(now()).isEmpty();
            });
        }
        d.setReady(ready);
        flush();
    }

    private void flush() {
        if (deck.isEmpty()) {
            return;
        }
        final Node d = deck.get();
        boolean more = true;
        while (more && alive()) {
            carry.ifPresent(c -> {
                final ClusterSnapshot f = d.facts();
                facts = Optional.of(f);
                c.clusterSnapshot(f, now());
            });
            final List<OutgoingFrame> ships = d.drainFrames();
            ships.forEach(s -> world.ship(this, s));
            final List<Effect> effects = d.drain();
            effects.forEach(this::effect);
            final List<DispatchEffect> acts =
                    carry.map(Dispatcher::drainEffects).orElse(List.of());
            acts.forEach(this::act);
            more = !effects.isEmpty() || !acts.isEmpty();
        }
        if (alive() && d.hasDelayedFrames()) {
            final long mine = epoch;
            world.engine().in(500, () -> {
                if (mine == epoch) {
                    post(() -> {
                        deck.ifPresent(x -> x.tick(now(), wall()));
                        flush();
                    });
                }
            });
        }
    }

    /** What the observer knows of stamps: a frame said must be above all that was heard in bounds, and said, before. */
    void spoke(final Frame f) {
        final Stamp stamp = f.stamp();
        world.watch().probe(Mark.STAMP);
        if (f.incarnation() != life) {
            life = f.incarnation();
            said = 0;
            top = deck.filter(d -> !bound(top, d)).isPresent() ? 0 : top;
        }
        if (stamp.bits() <= Math.max(said, top)) {
            world.watch()
                    .fault(Mark.STAMP, name + " said " + stamp.bits() + " after it heard " + top + " and said " + said);
        }
        said = Math.max(said, stamp.bits());
        if (world.dragging() && wall == 0 && world.engine().now() - reset > 10_000_000L) {
            world.watch().probe(Mark.DRAG);
            final long ahead = NtpTime.toMicros(Math.max(0, stamp.bits() - clock()));
            if (ahead > DRAGGED) {
                world.watch().fault(Mark.DRAG, name + " is " + ahead / 1000 + " ms ahead of true time");
            }
        }
    }

    private void heard(final Frame f, final Node d) {
        if (!d.hasDelayedFrames() && bound(f.stamp().bits(), d)) {
            top = Math.max(top, f.stamp().bits());
        }
    }

    /** Whether a stamp is one that this daemon may believe by its physical clock as it is now. */
    private boolean bound(final long bits, final Node d) {
        return bits - d.physicalClock().physicalTime(now()) <= NtpTime.fromMicros(SKEW);
    }

    private long clock() {
        return NtpTime.fromUnixNanos((EPOCH + world.engine().now()) * 1000);
    }

    private void effect(final Effect e) {
        if (cold) {
            post(() -> effect(e));
            return;
        }
        world.listener().effect(world.engine().now(), name, e);
        switch (e) {
            case Effect.Respond a ->
                Optional.ofNullable(asked.remove(a.token())).ifPresent(c -> c.accept(a.response()));
            case Effect.Persist k -> {
                final long mine = epoch;
                disk.ifPresent(x -> x.write(
                        k,
                        t -> {
                            if (mine == epoch) {
                                if (k.records().stream().anyMatch(LogRecord.Appended.class::isInstance)) {
                                    deck.ifPresent(this::synced);
                                }
                                post(() -> {
                                    deck.ifPresent(d -> d.onPersisted(t, now()));
                                    flush();
                                });
                            }
                        },
                        why -> post(() -> {
                            deck.ifPresent(d -> d.onDiskFailed(why, now()));
                            flush();
                            recover(mine);
                        })));
            }
            case Effect.Log l -> {
                logs.merge(l.event(), 1L, Long::sum);
                world.watch().count("log-" + l.event());
                reset = l.event() == Event.REJOIN ? world.engine().now() : reset;
                world.log(this, l);
            }
            case Effect.Send s -> throw new IllegalStateException("a send left the deck unstamped");
        }
    }

    /** Opens the log again each second after a failed write, until the disk takes writes. */
    private void recover(final long life) {
        if (recovering) {
            return;
        }
        recovering = true;
        world.engine().in(1_000_000, () -> {
            recovering = false;
            if (life != epoch) {
                return;
            }
            if (disk.map(Disk::full).orElse(true)) {
                recover(life);
                return;
            }
            final List<LogRecord> records = disk.get().reopen();
            post(() -> {
                deck.ifPresent(d -> d.onDiskRecovered(records, now()));
                flush();
            });
        });
    }

    private void synced(final Node d) {
        final String id = disk.map(Disk::identity).orElse("");
        if (d.view().head().map(b -> b.id().equals(id)).orElse(false)) {
            world.step(Step.HEAD, this);
        } else if (d.view().tail().map(b -> b.id().equals(id)).orElse(false)) {
            world.step(Step.TAIL, this);
        }
    }

    private void aimed(final DispatchEffect a) {
        switch (a) {
            case DispatchEffect.Placed p -> world.step(Step.PICKED, this);
            case DispatchEffect.SubmitCommand c -> {
                if (c.command() instanceof Command.Claim) {
                    world.step(Step.CLAIMS, this);
                }
            }
            case DispatchEffect.StartAttempt r -> world.step(Step.ASKS, this);
            default -> {}
        }
    }

    private void act(final DispatchEffect a) {
        if (!alive()) {
            return;
        }
        if (!(a instanceof DispatchEffect.Placed)) {
            aimed(a);
        }
        if (cold) {
            post(() -> act(a));
            return;
        }
        world.listener().action(world.engine().now(), name, a);
        switch (a) {
            case DispatchEffect.Placed p -> {
                call(p.callId(), a, true);
                aimed(a);
            }
            case DispatchEffect.Redirected p -> call(p.callId(), a, true);
            case DispatchEffect.Rejected r -> call(r.callId(), a, true);
            case DispatchEffect.StreamWrite f -> call(f.callId(), a, f.endOfStream());
            case DispatchEffect.StartAttempt r -> {
                if (now() > r.sendDeadline()) {
                    carry.ifPresent(c -> c.attemptFailed(r.operationId(), false, "it was not sent in time", now()));
                } else {
                    world.run(this, r, jobs);
                }
            }
            case DispatchEffect.CancelAttempt c ->
                Optional.ofNullable(jobs.remove(c.operationId())).ifPresent(j -> j.accept("cut"));
            case DispatchEffect.SubmitCommand c -> {
                wish(
                        c.command(),
                        c.timeout(),
                        v -> carry.ifPresent(x -> x.claimDecided(c.operationId(), (CommandResult) v, now())));
            }
            case DispatchEffect.PlacementDecided j -> world.watch().count("judged");
            case DispatchEffect.RequestEnded e -> world.watch().count("ended-" + e.state());
            case DispatchEffect.Log l -> {
                logs.merge(l.event(), 1L, Long::sum);
                world.log(this, new Effect.Log(l.event(), l.text()));
            }
        }
    }

    private void call(final long number, final DispatchEffect a, final boolean last) {
        Optional.ofNullable(last ? calls.remove(number) : calls.get(number)).ifPresent(c -> c.accept(a));
    }

    /** The values of the marked cells that this daemon goes by. */
    Set<String> values() {
        final Set<String> set = new HashSet<>();
        facts.ifPresent(f -> f.policy().values().forEach(l -> {
            if (l instanceof Value.Row r) {
                set.add(Office.value(r.requestsPerSecond()));
            }
        }));
        return set;
    }
}
