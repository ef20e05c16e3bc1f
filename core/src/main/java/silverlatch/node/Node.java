package silverlatch.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PhysicalClock;
import silverlatch.clock.ProcessClock;
import silverlatch.clock.PwcClock;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.Facts;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.Policy;
import silverlatch.wire.Frame;
import silverlatch.wire.Message;

/**
 * What every daemon runs: clock, crew, news, and the chain where there is a data folder. It does no input or output.
 * One duty owns it; only the clock's keeper is shared.
 */
public final class Node {
    private static final long SAMPLE = 4_000_000L;
    private static final int LOOPS = 10_000;
    private final Setup setup;
    private final Membership crew;
    private final Gossip rumor;
    private final ChainClient clerk;
    private Optional<ChainReplica> quay;
    private final ProcessClock keeper;
    private final Map<String, Sample> samples = new HashMap<>();
    private final Deque<Parked<OutgoingFrame>> going = new ArrayDeque<>();
    private final Deque<Parked<Frame>> coming = new ArrayDeque<>();
    private final Deque<Effect> inner = new ArrayDeque<>();
    private final List<OutgoingFrame> ships = new ArrayList<>();
    private final List<Effect> out = new ArrayList<>();
    private final Map<String, Long> tally = new HashMap<>();
    private volatile PhysicalClock anchor;
    private long begun;
    private long judged;
    private long slewed;
    private boolean mustered;
    private Optional<Stamp> floor;
    private final long started;
    private boolean confirmed;
    private Policy policy = Policy.NONE;
    private long policyPage;

    /** A daemon's place and settings; skew in microseconds. */
    public record Setup(
            Member me,
            List<String> seeds,
            int low,
            long skew,
            Membership.Times crew,
            Gossip.Times rumor,
            Safeguards guards) {
        /** Copies the seeds. */
        public Setup {
            seeds = List.copyOf(seeds);
        }

        /** A place and settings with all guards standing. */
        public Setup(
                final Member me,
                final List<String> seeds,
                final int low,
                final long skew,
                final Membership.Times crew,
                final Gossip.Times rumor) {
            this(me, seeds, low, skew, crew, rumor, Safeguards.ALL);
        }
    }

    /** A daemon as it starts: its anchor, and for a controller with a data folder its chain setup and what the ledger held. */
    public Node(
            final Setup setup,
            final Optional<ChainReplica.Setup> chain,
            final List<LogRecord> notes,
            final PhysicalClock anchor,
            final RandomGenerator luck,
            final long now) {
        this.setup = setup;
        this.anchor = anchor;
        this.begun = now;
        this.started = now;
        final long phys = anchor.physicalTime(now);
        final PwcClock tide = PwcClock.start(phys, setup.low(), NtpTime.fromMicros(setup.skew()), 0);
        this.keeper = new ProcessClock(tide, setup.guards());
        this.floor = floor(notes);
        this.crew = new Membership(setup.me(), setup.seeds(), setup.crew());
        this.rumor = new Gossip(crew, luck, setup.rumor(), setup.guards());
        this.quay = chain.map(c -> new ChainReplica(c.under(setup.guards()), notes, this::local, now));
        this.clerk = new ChainClient(setup.me().address(), this::view, luck.nextLong() >>> 8);
        this.quay.ifPresent(q -> rumor.own(q.books(), q.view(), false, now));
    }

    private static Optional<Stamp> floor(final List<LogRecord> notes) {
        return notes.stream()
                .flatMap(n -> switch (n) {
                    case LogRecord.Appended d ->
                        java.util.stream.Stream.of(d.entry().stamp());
                    case LogRecord.Snapshot p -> java.util.stream.Stream.of(new Stamp(p.highestStamp()));
                    default -> java.util.stream.Stream.<Stamp>empty();
                })
                .max(Stamp::compareTo);
    }

    /** The stamp of a local event at this moment of the duty's own clock. */
    public Stamp local(final long now) {
        return keeper.local(anchor.physicalTime(now));
    }

    /** The clock's keeper, shared by the duties of the process. */
    public ProcessClock keeper() {
        return keeper;
    }

    /** The physical clock. */
    public PhysicalClock anchor() {
        return anchor;
    }

    /** Who is there. */
    public Membership crew() {
        return crew;
    }

    /** The news. */
    public Gossip rumor() {
        return rumor;
    }

    /** The chain, at a controller with a data folder. */
    public Optional<ChainReplica> quay() {
        return quay;
    }

    /** Counts of what the wire brought. */
    public Map<String, Long> tally() {
        return Map.copyOf(tally);
    }

    /** The newest view known here. */
    public View view() {
        final View heard = rumor.view();
        return quay.map(ChainReplica::view)
                .filter(v -> v.number() >= heard.number())
                .orElse(heard);
    }

    /** Whether a frame waits for the clock. */
    public boolean parked() {
        return !going.isEmpty() || !coming.isEmpty();
    }

    /**
     * A copy of what is known, for the event loop that routes requests. A configuration is told only once one was confirmed
     * as the newest as of a moment after this process started: it then goes behind nothing that an earlier process of this
     * machine routed by.
     */
    public Facts facts() {
        confirmed = confirmed || rumor.confirmedSince(started);
        if (!confirmed) {
            return new Facts(
                    crew.me(),
                    0,
                    Optional.empty(),
                    Policy.NONE,
                    rumor.workers(),
                    crew.live().stream().filter(Member::gateway).toList());
        }
        if (policyPage != rumor.books().policyRevision()) {
            final boolean on = policyPage > 0 && policyPage < rumor.books().policyRevision();
            policy = (on ? policy : Policy.NONE).with(rumor.books().policySince(on ? policyPage : 0));
            policyPage = rumor.books().policyRevision();
        }
        final long now = begun;
        final Optional<Long> sure =
                rumor.age(now) == Long.MAX_VALUE ? Optional.empty() : Optional.of(now - rumor.age(now));
        return new Facts(
                crew.me(),
                rumor.books().policyRevision(),
                sure.filter(s -> mustered),
                policy,
                rumor.workers(),
                crew.live().stream().filter(Member::gateway).toList());
    }

    /** A frame came in. */
    public void frame(final Frame f, final long now) {
        step(now);
        if (!coming.isEmpty() || !take(f, now)) {
            coming.add(new Parked<>(f, now));
        }
        settle(now);
    }

    /** A worker announced itself; gives the echo to hand back. */
    public long announced(final Worker word, final long echo, final long now) {
        step(now);
        local(now);
        final long token = rumor.announced(word, echo, now);
        settle(now);
        return token;
    }

    /** A worker's life is over; false when it isn't known here. */
    public boolean gone(final String id, final long now) {
        step(now);
        final boolean known = rumor.gone(id, now);
        settle(now);
        return known;
    }

    /** Someone here wishes for a change. */
    public void wish(final Command wish, final long token, final long now, final long expiry) {
        step(now);
        clerk.wish(wish, token, now, expiry);
        settle(now);
    }

    /** Someone here asks the tail. */
    public void read(final String start, final long token, final long now, final long expiry) {
        step(now);
        clerk.read(start, token, now, expiry);
        settle(now);
    }

    /** The ledger synced a write. */
    public void kept(final long token, final long now) {
        step(now);
        quay.ifPresent(q -> q.kept(token, now));
        settle(now);
    }

    /** The ledger failed. */
    public void broke(final String why, final long now) {
        step(now);
        quay.ifPresent(q -> q.broke(why));
        settle(now);
    }

    /** The disk takes writes again: the chain's replica begins anew from what the log holds, as after a restart. */
    public void recovered(final List<LogRecord> records, final long now) {
        step(now);
        quay = quay.map(q -> q.recovered(records, now));
        settle(now);
    }

    /** Whether this daemon takes tickets, as the others shall know it. */
    public void ready(final boolean open) {
        crew.ready(open);
    }

    /** This daemon is about to stop. */
    public void leave(final long now) {
        step(now);
        crew.leave();
        quay.ifPresent(ChainReplica::leave);
        settle(now);
    }

    /** A clock event, some twenty a second. */
    public void tick(final long now, final long wall) {
        step(now);
        if (now - slewed >= 1_000_000L) {
            slewed = now;
            final long jumps = anchor.jumps();
            anchor = anchor.slew(wall, now, setup.skew());
            if (anchor.jumps() > jumps && anchor.jumps() == 1) {
                out.add(new Effect.Log(Event.WALL_JUMP, "the wall clock is not followed"));
            }
        }
        floor = floor.filter(f -> keeper.raiseAbove(f, anchor.physicalTime(now)).isEmpty());
        parked(now);
        judge(now);
        crew.tick(now);
        quay.ifPresent(q -> {
            q.tick(now);
            rumor.own(q.books(), q.view(), q.sure(now), now);
        });
        rumor.tick(now);
        clerk.tick(now);
        settle(now);
    }

    /** Frames to be shipped; handed over once. */
    public List<OutgoingFrame> ships() {
        final List<OutgoingFrame> list = List.copyOf(ships);
        ships.clear();
        return list;
    }

    /** Other effects; handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    private Stamp local() {
        return local(begun);
    }

    private void step(final long now) {
        begun = Math.max(begun, now);
    }

    private boolean take(final Frame f, final long now) {
        final long phys = anchor.physicalTime(now);
        final Sample sample = new Sample(f.stamp().bits() - phys, now);
        switch (keeper.receive(f.stamp(), phys)) {
            case ClockReading.Stamped made -> {
                samples.put(f.replyTo(), new Sample(0, now));
                deliver(f, now, phys);
            }
            case ClockReading.Wait wait -> {
                return false;
            }
            case ClockReading.TooFarAhead far -> {
                count("far");
                samples.put(f.replyTo(), sample);
                out.add(new Effect.Log(
                        Event.FAR_STAMP, f.from() + " is ahead by " + NtpTime.toMicros(far.units()) + " us too many"));
                if (!(f.body() instanceof Message.StampRejected)) {
                    inner.add(new Effect.Send(f.replyTo(), new Message.StampRejected(far.units(), phys)));
                }
            }
        }
        return true;
    }

    private void deliver(final Frame f, final long now, final long phys) {
        final long fleet = rumor.fleet();
        if (fleet != 0 && f.fleet() != 0 && f.fleet() != fleet) {
            count("fleet");
            out.add(new Effect.Log(Event.OTHER_FLEET, f.from()));
            return;
        }
        count("frames");
        hand(f.body(), f.replyTo(), now, phys);
    }

    private void hand(final Message msg, final String home, final long now, final long phys) {
        switch (msg) {
            case Message.JoinGreeting m -> crew.on(m, now, phys, keeper.last());
            case Message.MemberList m -> {
                mustered = true;
                keeper.raiseAbove(m.stampFloor(), phys);
                crew.on(m, now, phys, keeper.last());
            }
            case Message.LivenessHeartbeat m -> crew.on(m, now, phys, keeper.last());
            case Message.Heartbeat m -> crew.on(m, now, phys, keeper.last());
            case Message.GossipPush m -> rumor.on(m, home, now);
            case Message.GossipPull m -> {
                quay.ifPresent(q -> rumor.own(q.books(), q.view(), q.sure(now), now));
                rumor.on(m, home, now);
            }
            case Message.GossipPullReply m -> rumor.on(m, home, now);
            case Message.ReportVersions m -> rumor.on(m, home, now);
            case Message.MissingReports m -> rumor.on(m, home, now);
            case Message.WriteReply m -> clerk.on(m, now);
            case Message.ReadReply m -> clerk.on(m, now);
            case Message.StampRejected m -> {
                out.add(new Effect.Log(
                        Event.ASTRAY, home + " says by " + NtpTime.toMicros(m.excess()) + " us too many"));
                samples.put(home, new Sample(m.physicalTime() - phys, now));
            }
            default -> quay.ifPresent(q -> q.on(msg, home, now));
        }
    }

    private void judge(final long now) {
        if (now - judged < 500_000L) {
            return;
        }
        judged = now;
        samples.values().removeIf(s -> now - s.at() > SAMPLE);
        final long phys = anchor.physicalTime(now);
        final List<Long> gaps =
                new ArrayList<>(samples.values().stream().map(Sample::gap).toList());
        gaps.add(0L);
        gaps.sort(Long::compare);
        final long middle = gaps.get((gaps.size() - 1) / 2);
        final long skew = NtpTime.fromMicros(setup.skew());
        if (gaps.size() >= 3 && Math.abs(middle) > skew) {
            anchor = anchor.shiftedBy(middle < 0 ? -NtpTime.toMicros(-middle) : NtpTime.toMicros(middle));
            out.add(new Effect.Log(
                    Event.ANCHORED,
                    "moved by " + (middle < 0 ? -NtpTime.toMicros(-middle) : NtpTime.toMicros(middle)) + " us"));
            rejoin(now, "the median of the peers");
        } else if (keeper.needsRejoin(phys)) {
            rejoin(now, "overflows");
        }
    }

    private void rejoin(final long now, final String why) {
        count("rejoins");
        keeper.reset(anchor.physicalTime(now));
        samples.clear();
        going.clear();
        coming.clear();
        mustered = false;
        rumor.doubt();
        crew.life(crew.me().life() + 1);
        crew.again();
        out.add(new Effect.Log(Event.REJOIN, why));
    }

    private void parked(final long now) {
        while (!coming.isEmpty() && take(coming.peek().thing(), now)) {
            coming.poll();
        }
        while (!going.isEmpty() && stamp(going.peek().thing(), now)) {
            going.poll();
        }
        late(coming, now);
        late(going, now);
    }

    private void late(final Deque<? extends Parked<?>> list, final long now) {
        while (!list.isEmpty() && now - list.peek().at() > ProcessClock.MAX_WAIT_MICROS) {
            list.poll();
            keeper.recordDrop(now);
            count("overflow");
            out.add(new Effect.Log(Event.OVERFLOW, "a message was given up"));
        }
    }

    private boolean stamp(final OutgoingFrame s, final long now) {
        if (keeper.send(anchor.physicalTime(now)) instanceof ClockReading.Stamped made) {
            ships.add(new OutgoingFrame(
                    s.to(),
                    new Frame(
                            made.stamp(),
                            rumor.fleet(),
                            setup.me().id(),
                            setup.me().address(),
                            crew.me().life(),
                            s.frame().body())));
            return true;
        }
        return false;
    }

    private void settle(final long now) {
        int loops = 0;
        gather();
        while (!inner.isEmpty() && loops++ < LOOPS) {
            final Effect e = inner.poll();
            if (e instanceof Effect.Send send) {
                dispatch(send, now);
            } else {
                out.add(e);
            }
            gather();
        }
    }

    /** Hands a message to this daemon itself, or stamps it for another; it waits its turn while the clock overflows. */
    private void dispatch(final Effect.Send send, final long now) {
        if (send.to().equals(setup.me().address())) {
            hand(send.body(), send.to(), now, anchor.physicalTime(now));
            return;
        }
        final Frame unstamped =
                new Frame(new Stamp(1), 0, setup.me().id(), setup.me().address(), 0, send.body());
        final OutgoingFrame ship = new OutgoingFrame(send.to(), unstamped);
        if (!going.isEmpty() || !stamp(ship, now)) {
            going.add(new Parked<>(ship, now));
        }
    }

    private void gather() {
        inner.addAll(crew.drain());
        quay.ifPresent(q -> inner.addAll(q.drain()));
        inner.addAll(rumor.drain());
        inner.addAll(clerk.drain());
    }

    private void count(final String name) {
        tally.merge(name, 1L, Long::sum);
    }

    private record Sample(long gap, long at) {}

    private record Parked<T>(T thing, long at) {}
}
