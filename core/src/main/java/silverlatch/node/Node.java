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
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.ReplicaSettings;
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
    private static final long OFFSET_RETENTION = 4_000_000L;
    private static final int MAX_EFFECTS_PER_STEP = 10_000;
    private final Settings settings;
    private final Membership membership;
    private final Gossip gossip;
    private final ChainClient chainClient;
    private Optional<ChainReplica> chainReplica;
    private final ProcessClock processClock;
    private final Map<String, ClockOffset> clockOffsets = new HashMap<>();
    private final Deque<Delayed<OutgoingFrame>> delayedOutgoing = new ArrayDeque<>();
    private final Deque<Delayed<Frame>> delayedIncoming = new ArrayDeque<>();
    private final Deque<Effect> pendingEffects = new ArrayDeque<>();
    private final List<OutgoingFrame> drainFrames = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Map<String, Long> counters = new HashMap<>();
    private volatile PhysicalClock physicalClock;
    private long currentTime;
    private long lastClockCheck;
    private long lastSlew;
    private boolean hasJoined;
    private Optional<Stamp> stampFloor;
    private final long startedAt;
    private boolean isStateConfirmed;
    private Policy policy = Policy.NONE;
    private long policyRevision;

    /** A daemon's place and settings; skew in microseconds. */
    public record Settings(
            Member self,
            List<String> seeds,
            int stampLowBits,
            long maxClockSkew,
            Membership.Settings membership,
            Gossip.Settings gossip,
            Safeguards safeguards) {
        /** Copies the seeds. */
        public Settings {
            seeds = List.copyOf(seeds);
        }

        /** A place and settings with all guards standing. */
        public Settings(
                final Member self,
                final List<String> seeds,
                final int stampLowBits,
                final long maxClockSkew,
                final Membership.Settings membership,
                final Gossip.Settings gossip) {
            this(self, seeds, stampLowBits, maxClockSkew, membership, gossip, Safeguards.ALL);
        }
    }

    /** A daemon as it starts: its anchor, and for a controller with a data folder its chain setup and what the ledger held. */
    public Node(
            final Settings settings,
            final Optional<ReplicaSettings> chainSettings,
            final List<LogRecord> records,
            final PhysicalClock physicalClock,
            final RandomGenerator random,
            final long now) {
        this.settings = settings;
        this.physicalClock = physicalClock;
        this.currentTime = now;
        this.startedAt = now;
        final long physicalTime = physicalClock.physicalTime(now);
        final PwcClock clock =
                PwcClock.start(physicalTime, settings.stampLowBits(), NtpTime.fromMicros(settings.maxClockSkew()), 0);
        this.processClock = new ProcessClock(clock, settings.safeguards());
        this.stampFloor = stampFloor(records);
        this.membership = new Membership(settings.self(), settings.seeds(), settings.membership());
        this.gossip = new Gossip(membership, random, settings.gossip(), settings.safeguards());
        this.chainReplica = chainSettings.map(
                c -> new ChainReplica(c.withSafeguards(settings.safeguards()), records, this::localStamp, now));
        this.chainClient = new ChainClient(settings.self().address(), this::view, random.nextLong() >>> 8);
        this.chainReplica.ifPresent(q -> gossip.adoptReplicaState(q.stateMachine(), q.view(), false, now));
    }

    private static Optional<Stamp> stampFloor(final List<LogRecord> records) {
        return records.stream()
                .flatMap(n -> switch (n) {
                    case LogRecord.Appended d ->
                        java.util.stream.Stream.of(d.entry().stamp());
                    case LogRecord.Snapshot p -> java.util.stream.Stream.of(new Stamp(p.highestStamp()));
                    default -> java.util.stream.Stream.<Stamp>empty();
                })
                .max(Stamp::compareTo);
    }

    /** The stamp of a local event at this moment of the duty's own clock. */
    public Stamp localStamp(final long now) {
        return processClock.local(physicalClock.physicalTime(now));
    }

    /** The clock's keeper, shared by the duties of the process. */
    public ProcessClock processClock() {
        return processClock;
    }

    /** The physical clock. */
    public PhysicalClock physicalClock() {
        return physicalClock;
    }

    /** Who is there. */
    public Membership membership() {
        return membership;
    }

    /** The news. */
    public Gossip gossip() {
        return gossip;
    }

    /** The chain, at a controller with a data folder. */
    public Optional<ChainReplica> chainReplica() {
        return chainReplica;
    }

    /** Counts of what the wire brought. */
    public Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    /** The newest view known here. */
    public View view() {
        final View gossiped = gossip.view();
        return chainReplica
                .map(ChainReplica::view)
                .filter(v -> v.number() >= gossiped.number())
                .orElse(gossiped);
    }

    /** Whether a frame waits for the clock. */
    public boolean hasDelayedFrames() {
        return !delayedOutgoing.isEmpty() || !delayedIncoming.isEmpty();
    }

    /**
     * A copy of what is known, for the event loop that routes requests. A configuration is told only once one was confirmed
     * as the newest as of a moment after this process started: it then goes behind nothing that an earlier process of this
     * machine routed by.
     */
    public ClusterSnapshot facts() {
        isStateConfirmed = isStateConfirmed || gossip.confirmedSince(startedAt);
        if (!isStateConfirmed) {
            return new ClusterSnapshot(
                    membership.self(),
                    0,
                    Optional.empty(),
                    Policy.NONE,
                    gossip.workers(),
                    membership.liveMembers().stream().filter(Member::isGateway).toList());
        }
        if (policyRevision != gossip.stateMachine().policyRevision()) {
            final boolean incremental =
                    policyRevision > 0 && policyRevision < gossip.stateMachine().policyRevision();
            policy = (incremental ? policy : Policy.NONE)
                    .with(gossip.stateMachine().policySince(incremental ? policyRevision : 0));
            policyRevision = gossip.stateMachine().policyRevision();
        }
        final long now = currentTime;
        final Optional<Long> confirmedAt =
                gossip.stateAge(now) == Long.MAX_VALUE ? Optional.empty() : Optional.of(now - gossip.stateAge(now));
        return new ClusterSnapshot(
                membership.self(),
                gossip.stateMachine().policyRevision(),
                confirmedAt.filter(s -> hasJoined),
                policy,
                gossip.workers(),
                membership.liveMembers().stream().filter(Member::isGateway).toList());
    }

    /** A frame came in. */
    public void onFrame(final Frame frame, final long now) {
        advanceTime(now);
        if (!delayedIncoming.isEmpty() || !admit(frame, now)) {
            delayedIncoming.add(new Delayed<>(frame, now));
        }
        processEffects(now);
    }

    /** A worker announced itself; gives the echo to hand back. */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        advanceTime(now);
        localStamp(now);
        final long token = gossip.onAnnouncement(worker, echo, now);
        processEffects(now);
        return token;
    }

    /** A worker's life is over; false when it isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        advanceTime(now);
        final boolean known = gossip.onWorkerGone(id, now);
        processEffects(now);
        return known;
    }

    /** Someone here wishes for a change. */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.submit(command, token, now, deadline);
        processEffects(now);
    }

    /** Someone here asks the tail. */
    public void read(final String keyPrefix, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.read(keyPrefix, token, now, deadline);
        processEffects(now);
    }

    /** The ledger synced a write. */
    public void onPersisted(final long token, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(q -> q.synced(token, now));
        processEffects(now);
    }

    /** The ledger failed. */
    public void onDiskFailed(final String reason, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(q -> q.diskFailed(reason));
        processEffects(now);
    }

    /** The disk takes writes again: the chain's replica begins anew from what the log holds, as after a restart. */
    public void onDiskRecovered(final List<LogRecord> records, final long now) {
        advanceTime(now);
        chainReplica = chainReplica.map(q -> q.recovered(records, now));
        processEffects(now);
    }

    /** Whether this daemon takes tickets, as the others shall know it. */
    public void setReady(final boolean isReady) {
        membership.setReady(isReady);
    }

    /** This daemon is about to stop. */
    public void leave(final long now) {
        advanceTime(now);
        membership.leave();
        chainReplica.ifPresent(ChainReplica::leave);
        processEffects(now);
    }

    /** A clock event, some twenty a second. */
    public void tick(final long now, final long wallTime) {
        advanceTime(now);
        if (now - lastSlew >= 1_000_000L) {
            lastSlew = now;
            final long jumps = physicalClock.jumps();
            physicalClock = physicalClock.slew(wallTime, now, settings.maxClockSkew());
            if (physicalClock.jumps() > jumps && physicalClock.jumps() == 1) {
                effects.add(new Effect.Log(Event.WALL_JUMP, "the wall clock is not followed"));
            }
        }
        stampFloor = stampFloor.filter(
                f -> processClock.raiseAbove(f, physicalClock.physicalTime(now)).isEmpty());
        hasDelayedFrames(now);
        checkClock(now);
        membership.tick(now);
        chainReplica.ifPresent(q -> {
            q.tick(now);
            gossip.adoptReplicaState(q.stateMachine(), q.view(), q.isUpToDate(now), now);
        });
        gossip.tick(now);
        chainClient.tick(now);
        processEffects(now);
    }

    /** Frames to be shipped; handed over once. */
    public List<OutgoingFrame> drainFrames() {
        final List<OutgoingFrame> frames = List.copyOf(drainFrames);
        drainFrames.clear();
        return frames;
    }

    /** Other effects; handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(effects);
        effects.clear();
        return list;
    }

    private Stamp localStamp() {
        return localStamp(currentTime);
    }

    private void advanceTime(final long now) {
        currentTime = Math.max(currentTime, now);
    }

    private boolean admit(final Frame frame, final long now) {
        final long physicalTime = physicalClock.physicalTime(now);
        final ClockOffset offset = new ClockOffset(frame.stamp().bits() - physicalTime, now);
        switch (processClock.receive(frame.stamp(), physicalTime)) {
            case ClockReading.Stamped made -> {
                clockOffsets.put(frame.replyTo(), new ClockOffset(0, now));
                deliver(frame, now, physicalTime);
            }
            case ClockReading.Wait wait -> {
                return false;
            }
            case ClockReading.TooFarAhead far -> {
                increment("far");
                clockOffsets.put(frame.replyTo(), offset);
                effects.add(new Effect.Log(
                        Event.FAR_STAMP,
                        frame.from() + " is ahead by " + NtpTime.toMicros(far.units()) + " us too many"));
                if (!(frame.body() instanceof Message.StampRejected)) {
                    pendingEffects.add(
                            new Effect.Send(frame.replyTo(), new Message.StampRejected(far.units(), physicalTime)));
                }
            }
        }
        return true;
    }

    private void deliver(final Frame frame, final long now, final long physicalTime) {
        final long fleet = gossip.fleet();
        if (fleet != 0 && frame.fleet() != 0 && frame.fleet() != fleet) {
            increment("fleet");
            effects.add(new Effect.Log(Event.OTHER_FLEET, frame.from()));
            return;
        }
        increment("frames");
        dispatch(frame.body(), frame.replyTo(), now, physicalTime);
    }

    private void dispatch(final Message message, final String sender, final long now, final long physicalTime) {
        switch (message) {
            case Message.JoinGreeting m -> membership.onMessage(m, now, physicalTime, processClock.last());
            case Message.MemberList m -> {
                hasJoined = true;
                processClock.raiseAbove(m.stampFloor(), physicalTime);
                membership.onMessage(m, now, physicalTime, processClock.last());
            }
            case Message.LivenessHeartbeat m -> membership.onMessage(m, now, physicalTime, processClock.last());
            case Message.Heartbeat m -> membership.onMessage(m, now, physicalTime, processClock.last());
            case Message.GossipPush m -> gossip.onMessage(m, sender, now);
            case Message.GossipPull m -> {
                chainReplica.ifPresent(
                        q -> gossip.adoptReplicaState(q.stateMachine(), q.view(), q.isUpToDate(now), now));
                gossip.onMessage(m, sender, now);
            }
            case Message.GossipPullReply m -> gossip.onMessage(m, sender, now);
            case Message.ReportVersions m -> gossip.onMessage(m, sender, now);
            case Message.MissingReports m -> gossip.onMessage(m, sender, now);
            case Message.WriteReply m -> chainClient.onMessage(m, now);
            case Message.ReadReply m -> chainClient.onMessage(m, now);
            case Message.StampRejected m -> {
                effects.add(new Effect.Log(
                        Event.ASTRAY, sender + " says by " + NtpTime.toMicros(m.excess()) + " us too many"));
                clockOffsets.put(sender, new ClockOffset(m.physicalTime() - physicalTime, now));
            }
            default -> chainReplica.ifPresent(q -> q.onMessage(message, sender, now));
        }
    }

    private void checkClock(final long now) {
        if (now - lastClockCheck < 500_000L) {
            return;
        }
        lastClockCheck = now;
        clockOffsets.values().removeIf(s -> now - s.measuredAt() > OFFSET_RETENTION);
        final long physicalTime = physicalClock.physicalTime(now);
        final List<Long> offsets = new ArrayList<>(
                clockOffsets.values().stream().map(ClockOffset::offset).toList());
        offsets.add(0L);
        offsets.sort(Long::compare);
        final long median = offsets.get((offsets.size() - 1) / 2);
        final long maxSkew = NtpTime.fromMicros(settings.maxClockSkew());
        if (offsets.size() >= 3 && Math.abs(median) > maxSkew) {
            physicalClock = physicalClock.shiftedBy(median < 0 ? -NtpTime.toMicros(-median) : NtpTime.toMicros(median));
            effects.add(new Effect.Log(
                    Event.ANCHORED,
                    "moved by " + (median < 0 ? -NtpTime.toMicros(-median) : NtpTime.toMicros(median)) + " us"));
            rejoin(now, "the median of the peers");
        } else if (processClock.needsRejoin(physicalTime)) {
            rejoin(now, "overflows");
        }
    }

    private void rejoin(final long now, final String reason) {
        increment("rejoins");
        processClock.reset(physicalClock.physicalTime(now));
        clockOffsets.clear();
        delayedOutgoing.clear();
        delayedIncoming.clear();
        hasJoined = false;
        gossip.resetFreshness();
        membership.startIncarnation(membership.self().incarnation() + 1);
        membership.rejoinSeeds();
        effects.add(new Effect.Log(Event.REJOIN, reason));
    }

    private void hasDelayedFrames(final long now) {
        while (!delayedIncoming.isEmpty() && admit(delayedIncoming.peek().item(), now)) {
            delayedIncoming.poll();
        }
        while (!delayedOutgoing.isEmpty() && tryStamp(delayedOutgoing.peek().item(), now)) {
            delayedOutgoing.poll();
        }
        dropExpired(delayedIncoming, now);
        dropExpired(delayedOutgoing, now);
    }

    private void dropExpired(final Deque<? extends Delayed<?>> delayed, final long now) {
        while (!delayed.isEmpty() && now - delayed.peek().since() > ProcessClock.MAX_WAIT_MICROS) {
            delayed.poll();
            processClock.recordDrop(now);
            increment("overflow");
            effects.add(new Effect.Log(Event.OVERFLOW, "a message was given up"));
        }
    }

    private boolean tryStamp(final OutgoingFrame outgoing, final long now) {
        if (processClock.send(physicalClock.physicalTime(now)) instanceof ClockReading.Stamped made) {
            drainFrames.add(new OutgoingFrame(
                    outgoing.to(),
                    new Frame(
                            made.stamp(),
                            gossip.fleet(),
                            settings.self().id(),
                            settings.self().address(),
                            membership.self().incarnation(),
                            outgoing.frame().body())));
            return true;
        }
        return false;
    }

    private void processEffects(final long now) {
        int processed = 0;
        collectEffects();
        while (!pendingEffects.isEmpty() && processed++ < MAX_EFFECTS_PER_STEP) {
            final Effect effect = pendingEffects.poll();
            if (effect instanceof Effect.Send send) {
                send(send, now);
            } else {
                effects.add(effect);
            }
            collectEffects();
        }
    }

    /** Hands a message to this daemon itself, or stamps it for another; it waits its turn while the clock overflows. */
    private void send(final Effect.Send send, final long now) {
        if (send.to().equals(settings.self().address())) {
            dispatch(send.message(), send.to(), now, physicalClock.physicalTime(now));
            return;
        }
        final Frame unstamped =
                new Frame(new Stamp(1), 0, settings.self().id(), settings.self().address(), 0, send.message());
        final OutgoingFrame outgoing = new OutgoingFrame(send.to(), unstamped);
        if (!delayedOutgoing.isEmpty() || !tryStamp(outgoing, now)) {
            delayedOutgoing.add(new Delayed<>(outgoing, now));
        }
    }

    private void collectEffects() {
        pendingEffects.addAll(membership.drain());
        chainReplica.ifPresent(q -> pendingEffects.addAll(q.drain()));
        pendingEffects.addAll(gossip.drain());
        pendingEffects.addAll(chainClient.drain());
    }

    private void increment(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    private record ClockOffset(long offset, long measuredAt) {}

    private record Delayed<T>(T item, long since) {}
}
