package silverlatch.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.clock.PhysicalClock;
import silverlatch.clock.ProcessClock;
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
import silverlatch.wire.Frame;

/**
 * The core that every process of a fleet runs: clock, membership, gossip, a client of the chain, and on a controller with a
 * data folder a replica of the chain.
 *
 * <p>It does no input or output. The caller reports what happened (a frame, a tick, a synced write) and then takes what is to
 * be done by {@link #drainFrames} and {@link #drain}. Every such call runs to its end: the effects of the parts are processed
 * in the order in which they arose, messages to this node itself among them. One event loop owns a node; only the process
 * clock and the physical clock may be read by other threads.
 *
 * <p>{@code now} is always microseconds of the monotonic clock of the process.
 */
public final class Node {
    /** A bound on the effects of one call, against two parts that answer each other for ever. */
    private static final int MAX_EFFECTS_PER_CALL = 10_000;

    private final Settings settings;
    private final NodeClock clock;
    private final Membership membership;
    private final Gossip gossip;
    private final ChainClient chainClient;
    private final TrafficExchange traffic;
    private final MessageDispatcher dispatcher;
    private final FrameReceiver receiver;
    private final FrameSender sender;
    private final ClusterSnapshotBuilder snapshotBuilder;
    private final NodeCounters counters = new NodeCounters();
    private final Deque<Effect> pendingEffects = new ArrayDeque<>();
    private final List<Effect> effects = new ArrayList<>();
    private Optional<ChainReplica> chainReplica;
    private long currentTime;

    /**
     * The identity and the settings of a node.
     *
     * @param self         this node as the others are to know it
     * @param seeds        the addresses through which it joins
     * @param stampLowBits how many low bits of a stamp count events within one physical time
     * @param maxClockSkew by how many microseconds a clock may differ from the others
     * @param membership   time-outs and intervals of the membership
     * @param gossip       intervals of the gossip
     * @param startupGrace for how long after its start a gateway may route by a configuration that nobody has confirmed, in
     *                     microseconds; 0 where it may not
     * @param safeguards   the checks that are enabled; all of them but in tests
     */
    public record Settings(
            Member self,
            List<String> seeds,
            int stampLowBits,
            long maxClockSkew,
            Membership.Settings membership,
            Gossip.Settings gossip,
            long startupGrace,
            Safeguards safeguards) {
        /** Copies the seeds. */
        public Settings {
            seeds = List.copyOf(seeds);
        }

        /** Makes settings by which only confirmed configurations are followed. */
        public Settings(
                final Member self,
                final List<String> seeds,
                final int stampLowBits,
                final long maxClockSkew,
                final Membership.Settings membership,
                final Gossip.Settings gossip,
                final Safeguards safeguards) {
            this(self, seeds, stampLowBits, maxClockSkew, membership, gossip, 0, safeguards);
        }

        /** Makes settings with all safeguards enabled, by which only confirmed configurations are followed. */
        public Settings(
                final Member self,
                final List<String> seeds,
                final int stampLowBits,
                final long maxClockSkew,
                final Membership.Settings membership,
                final Gossip.Settings gossip) {
            this(self, seeds, stampLowBits, maxClockSkew, membership, gossip, Safeguards.ALL);
        }

        /** The same with another time for which a gateway may route by an unconfirmed configuration, in microseconds. */
        public Settings withStartupGrace(final long micros) {
            return new Settings(self, seeds, stampLowBits, maxClockSkew, membership, gossip, micros, safeguards);
        }
    }

    /**
     * Makes a node that starts.
     *
     * @param chainSettings the settings of the chain's replica, where this node has a data folder
     * @param records       what the log of the data folder holds
     * @param physicalClock a physical clock read at the start
     * @param random        chooses peers and numbers requests
     */
    public Node(
            final Settings settings,
            final Optional<ReplicaSettings> chainSettings,
            final List<LogRecord> records,
            final PhysicalClock physicalClock,
            final RandomGenerator random,
            final long now) {
        this.settings = settings;
        this.currentTime = now;
        this.clock = new NodeClock(settings, physicalClock, records, now, effects::add);
        this.membership = new Membership(settings.self(), settings.seeds(), settings.membership());
        this.gossip = new Gossip(membership, random, settings.gossip(), settings.safeguards());
        this.chainReplica = chainSettings.map(c ->
                new ChainReplica(c.withSafeguards(settings.safeguards()), records, () -> localStamp(currentTime), now));
        this.chainClient = new ChainClient(settings.self().address(), this::view, random.nextLong() >>> 8);
        this.traffic = new TrafficExchange(
                settings.self().address(), clock, membership, gossip, this::view, this::chainReplica);
        this.dispatcher = new MessageDispatcher(
                clock, membership, gossip, chainClient, traffic, this::chainReplica, effects::add);
        this.receiver = new FrameReceiver(
                clock, gossip::fleet, dispatcher::dispatch, pendingEffects::add, effects::add, counters);
        this.sender = new FrameSender(clock, membership, gossip::fleet);
        this.snapshotBuilder = new ClusterSnapshotBuilder(settings, membership, gossip, now);
        this.chainReplica.ifPresent(
                replica -> gossip.adoptReplicaState(replica.stateMachine(), replica.view(), false, now));
    }

    /** Makes the stamp of a local event at a moment of this event loop. */
    public Stamp localStamp(final long now) {
        return clock.localStamp(now);
    }

    /** Returns the clock that makes stamps; all event loops of the process share it. */
    public ProcessClock processClock() {
        return clock.processClock();
    }

    /** Returns the physical clock. */
    public PhysicalClock physicalClock() {
        return clock.physicalClock();
    }

    /** Returns the membership; the caller may change seeds and read everything. */
    public Membership membership() {
        return membership;
    }

    /** Returns the gossip; the caller reads only, but may restore reports before the first tick. */
    public Gossip gossip() {
        return gossip;
    }

    /** Returns the replica of the chain, at a controller with a data folder. */
    public Optional<ChainReplica> chainReplica() {
        return chainReplica;
    }

    /** Returns the part that reports and collects what gateways serve. */
    public TrafficExchange traffic() {
        return traffic;
    }

    /** Returns counts of frames, by the names of {@link NodeCounters}. */
    public Map<String, Long> counters() {
        return counters.snapshot();
    }

    /** Returns the newest view known here, be it by the replica or by gossip. */
    public View view() {
        final View gossiped = gossip.view();
        return chainReplica
                .map(ChainReplica::view)
                .filter(v -> v.number() >= gossiped.number())
                .orElse(gossiped);
    }

    /** Returns whether a frame, in or out, waits for the clock. */
    public boolean hasDelayedFrames() {
        return !sender.isEmpty() || !receiver.isEmpty();
    }

    /** Returns a copy of what is known as of the last call, for the event loop that routes requests. */
    public ClusterSnapshot clusterSnapshot() {
        return snapshotBuilder.build(dispatcher.hasJoined(), currentTime);
    }

    /** Takes a frame that came in. */
    public void onFrame(final Frame frame, final long now) {
        advanceTime(now);
        receiver.receive(frame, now);
        processEffects(now);
    }

    /**
     * Takes an announcement that a worker made to this node.
     *
     * @param echo the token that this node returned for the worker's last announcement here, or 0
     * @return the token that the worker is to hand back
     */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        advanceTime(now);
        localStamp(now);
        final long token = gossip.onAnnouncement(worker, echo, now);
        processEffects(now);
        return token;
    }

    /** Ends a worker's incarnation; returns false when it isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        advanceTime(now);
        final boolean isKnown = gossip.onWorkerGone(id, now);
        processEffects(now);
        return isKnown;
    }

    /**
     * Answers by {@link Effect.Respond} with a boolean whether a majority of the controllers holds the newest report on a worker; at the
     * deadline at last.
     */
    public void confirmReport(final String workerId, final long token, final long now, final long deadline) {
        advanceTime(now);
        gossip.confirmReport(workerId, token, now, deadline);
        processEffects(now);
    }

    /** Submits a command to the chain; its result comes as {@link Effect.Respond} with the token, at the deadline at last. */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.submit(command, token, now, deadline);
        processEffects(now);
    }

    /** Reads the entries under a prefix from the chain; the answer comes as {@link Effect.Respond} with the token. */
    public void read(final String keyPrefix, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.read(keyPrefix, token, now, deadline);
        processEffects(now);
    }

    /** Takes notice that the write of an {@link Effect.Persist} is synced. */
    public void onPersisted(final long token, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(replica -> replica.synced(token, now));
        processEffects(now);
    }

    /** Takes notice that the disk of the log failed. */
    public void onDiskFailed(final String reason, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(replica -> replica.diskFailed(reason));
        processEffects(now);
    }

    /** Takes notice that the disk takes writes again: the replica starts anew from what the log holds. */
    public void onDiskRecovered(final List<LogRecord> records, final long now) {
        advanceTime(now);
        chainReplica = chainReplica.map(replica -> replica.recovered(records, now));
        processEffects(now);
    }

    /** Sets whether this node takes requests, as the others are to know it. */
    public void setReady(final boolean isReady) {
        membership.setReady(isReady);
    }

    /** Begins a graceful shutdown: announces it, and hands over what the replica holds. */
    public void leave(final long now) {
        advanceTime(now);
        traffic.leave(now);
        membership.leave();
        chainReplica.ifPresent(ChainReplica::leave);
        processEffects(now);
    }

    /**
     * Does what is due; called some twenty times a second.
     *
     * @param wallTime the wall clock, in nanoseconds since the Unix epoch
     */
    public void tick(final long now, final long wallTime) {
        advanceTime(now);
        clock.slew(now, wallTime);
        clock.raiseToLogFloor(now);
        retryDelayedFrames(now);
        clock.check(now).ifPresent(reason -> rejoin(now, reason));
        membership.setWaitingForSeeds(gossip.lastConfirmedAt().isEmpty());
        membership.tick(now);
        chainReplica.ifPresent(replica -> replica.tick(now));
        dispatcher.adoptReplicaState(now);
        gossip.tick(now);
        chainClient.tick(now);
        traffic.tick(now);
        processEffects(now);
    }

    /** Returns the frames to be sent; each is handed out once. */
    public List<OutgoingFrame> drainFrames() {
        return sender.drain();
    }

    /** Returns all other effects; each is handed out once. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private void advanceTime(final long now) {
        currentTime = Math.max(currentTime, now);
    }

    /** Starts a new incarnation with a process clock set anew, as if this node had just started and knew nothing for sure. */
    private void rejoin(final long now, final String reason) {
        counters.increment(NodeCounters.REJOINS);
        clock.reset(now);
        sender.clear();
        receiver.clear();
        dispatcher.onRejoin();
        gossip.resetFreshness();
        membership.startIncarnation(membership.self().incarnation() + 1);
        membership.restartJoin();
        effects.add(new Effect.Log(Event.REJOIN, reason));
    }

    private void retryDelayedFrames(final long now) {
        receiver.retry(now);
        sender.retry(now);
        final int expired = receiver.removeExpired(now) + sender.removeExpired(now);
        for (int i = 0; i < expired; i++) {
            clock.processClock().recordDrop(now);
            counters.increment(NodeCounters.OVERFLOWS);
            effects.add(new Effect.Log(Event.OVERFLOW, "a message was given up"));
        }
    }

    private void processEffects(final long now) {
        int processed = 0;
        collectEffects();
        while (!pendingEffects.isEmpty() && processed++ < MAX_EFFECTS_PER_CALL) {
            final Effect effect = pendingEffects.poll();
            if (effect instanceof Effect.Send send) {
                send(send, now);
            } else {
                effects.add(effect);
            }
            collectEffects();
        }
    }

    /** Hands a message to this node itself, or has it stamped for another. */
    private void send(final Effect.Send send, final long now) {
        if (send.to().equals(settings.self().address())) {
            dispatcher.dispatch(send.message(), send.to(), now);
        } else {
            sender.send(send, now);
        }
    }

    private void collectEffects() {
        pendingEffects.addAll(membership.drain());
        chainReplica.ifPresent(replica -> pendingEffects.addAll(replica.drain()));
        pendingEffects.addAll(gossip.drain());
        pendingEffects.addAll(chainClient.drain());
        pendingEffects.addAll(traffic.drain());
    }
}
