package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.clock.PauseDetector;
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
 * The core that runs in every process of a fleet: clocks, membership, gossip, a chain client and, on a controller
 * with a data directory, a chain replica.
 *
 * <p>It does no input or output. The caller reports events (a received frame, a tick, a synced write) and then takes
 * the resulting effects from {@link #drainFrames} and {@link #drain}. Each such call completes before it returns: the
 * effects of the components are processed in the order in which they arose, including messages to this node itself. A
 * node belongs to one event loop; other threads may only read the process clock and the physical clock.
 *
 * <p>{@code now} is always microseconds of the process's monotonic clock.
 */
public final class Node {
    /** A worker that reports waits for the reply for this time. */
    private static final long REPORT_TIMEOUT_MICROS = 1_000_000L;
    /** Pauses that are shorter aren't logged. */
    private static final long MIN_LOGGED_PAUSE_MICROS = 1_000_000L;

    private final NodeClock clock;
    private final Membership membership;
    private final Gossip gossip;
    private final ChainClient chainClient;
    private final TrafficExchange traffic;
    private final MessageDispatcher dispatcher;
    private final FrameExchange frames;
    private final ClusterSnapshotBuilder snapshotBuilder;
    private final NodeCounters counters = new NodeCounters();
    private final List<Effect> effects = new ArrayList<>();
    private final EffectProcessor effectProcessor;
    private final PauseDetector pauses;
    private Optional<ChainReplica> chainReplica;
    private long currentTime;

    /**
     * The identity and the settings of a node.
     *
     * @param self this node's own entry, as it is announced to other nodes
     * @param seeds the addresses through which it joins
     * @param stampLowBits how many low bits of a stamp count the events within one physical time
     * @param maxClockSkew by how many microseconds a clock may differ from the others
     * @param membership time-outs and intervals of the membership
     * @param gossip intervals of the gossip
     * @param startupGrace for how many microseconds after its start a gateway may route by an unconfirmed
     *                     configuration; 0 if it may not
     * @param safeguards the enabled safeguards; all of them except in tests
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

        /** Creates settings that allow only confirmed configurations. */
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

        /** Creates settings that allow only confirmed configurations, with all safeguards enabled. */
        public Settings(
                final Member self,
                final List<String> seeds,
                final int stampLowBits,
                final long maxClockSkew,
                final Membership.Settings membership,
                final Gossip.Settings gossip) {
            this(self, seeds, stampLowBits, maxClockSkew, membership, gossip, Safeguards.ALL);
        }

        /** Returns these settings with another startup grace, in microseconds. */
        public Settings withStartupGrace(final long micros) {
            return new Settings(self, seeds, stampLowBits, maxClockSkew, membership, gossip, micros, safeguards);
        }
    }

    /**
     * Creates a node that starts now.
     *
     * @param chainSettings the settings of the chain replica; empty if this node has no data directory
     * @param records the contents of the log in the data directory
     * @param physicalClock a physical clock read at the start
     * @param random chooses peers and request ids
     */
    public Node(
            final Settings settings,
            final Optional<ReplicaSettings> chainSettings,
            final List<LogRecord> records,
            final PhysicalClock physicalClock,
            final RandomGenerator random,
            final long now) {
        this.currentTime = now;
        this.clock = new NodeClock(settings, physicalClock, records, now, effects::add);
        this.membership = new Membership(settings.self(), settings.seeds(), settings.membership());
        this.gossip = new Gossip(membership, random, settings.gossip(), settings.safeguards());
        this.chainReplica = chainSettings.map(c ->
                new ChainReplica(c.withSafeguards(settings.safeguards()), records, () -> localStamp(currentTime), now));
        this.pauses = new PauseDetector(settings.safeguards());
        this.chainClient = new ChainClient(
                settings.self().address(), this::view, random.nextLong() >>> 8, pauses, settings.safeguards());
        this.traffic = new TrafficExchange(
                settings.self().address(), clock, membership, gossip, this::view, this::chainReplica);
        this.dispatcher = new MessageDispatcher(
                clock, membership, gossip, chainClient, traffic, this::chainReplica, effects::add);
        final FrameSender sender = new FrameSender(clock, membership, gossip::fleet);
        this.effectProcessor = new EffectProcessor(
                settings.self().address(), this::collectEffects, dispatcher::dispatch, sender, effects::add);
        final FrameReceiver receiver = new FrameReceiver(
                clock, gossip::fleet, dispatcher::dispatch, effectProcessor::add, effects::add, counters);
        this.frames = new FrameExchange(clock, pauses, receiver, sender, effects::add, counters);
        this.snapshotBuilder = new ClusterSnapshotBuilder(settings, membership, gossip, now);
        this.chainReplica.ifPresent(
                replica -> gossip.adoptReplicaState(replica.stateMachine(), replica.view(), false, now));
    }

    /** Creates the stamp of a local event of this event loop. */
    public Stamp localStamp(final long now) {
        return clock.localStamp(now);
    }

    /** Returns the clock that creates stamps, which all event loops of the process share. */
    public ProcessClock processClock() {
        return clock.processClock();
    }

    /** Returns the physical clock. */
    public PhysicalClock physicalClock() {
        return clock.physicalClock();
    }

    /** Returns the membership. The caller may read all of it, but change only the seeds. */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the gossip. The caller must only read it, except that it may restore saved reports and state before the
     * first tick.
     */
    public Gossip gossip() {
        return gossip;
    }

    /** Returns the chain replica; present on a controller with a data directory. */
    public Optional<ChainReplica> chainReplica() {
        return chainReplica;
    }

    /** Returns the component that reports and collects the traffic served by gateways. */
    public TrafficExchange traffic() {
        return traffic;
    }

    /** Returns the frame counters, by the names in {@link NodeCounters}. */
    public Map<String, Long> counters() {
        return counters.snapshot();
    }

    /** Returns the newest view known to the chain replica or the gossip. */
    public View view() {
        final View gossiped = gossip.view();
        return chainReplica
                .map(ChainReplica::view)
                .filter(v -> v.number() >= gossiped.number())
                .orElse(gossiped);
    }

    /** Returns whether an incoming or outgoing frame waits for the process clock. */
    public boolean hasDelayedFrames() {
        return frames.hasDelayed();
    }

    /** Returns a snapshot as of the last call, for the event loop that routes requests. */
    public ClusterSnapshot clusterSnapshot() {
        return snapshotBuilder.build(dispatcher.hasJoined(), currentTime);
    }

    /** Processes a received frame; drops one that may have waited for long while this process was paused. */
    public void onFrame(final Frame frame, final long now) {
        advanceTime(now);
        frames.receive(frame, now);
        processEffects(now);
    }

    /**
     * Returns whether an announcement that is handled now may have waited, because this process was paused, for longer
     * than its worker waited for the reply. The worker may have ended since, and must announce itself again.
     */
    public boolean mayBeOutdated(final long now) {
        advanceTime(now);
        return pauses.possibleWait(now) >= REPORT_TIMEOUT_MICROS;
    }

    /**
     * Processes an announcement that a worker made to this node.
     *
     * @param echo the token that this node returned for the worker's previous announcement here, or 0
     * @return the token that the worker has to return with its next announcement
     */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        advanceTime(now);
        localStamp(now);
        final long token = gossip.onAnnouncement(worker, echo, now);
        processEffects(now);
        return token;
    }

    /** Ends a worker's incarnation. Returns false if the worker isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        advanceTime(now);
        final boolean isKnown = gossip.onWorkerGone(id, now);
        processEffects(now);
        return isKnown;
    }

    /**
     * Responds by {@link Effect.Respond}, with a Boolean and at the deadline at the latest, whether a majority of the
     * controllers holds the newest report on a worker.
     */
    public void confirmReport(final String workerId, final long token, final long now, final long deadline) {
        advanceTime(now);
        gossip.confirmReport(workerId, token, now, deadline);
        processEffects(now);
    }

    /**
     * Submits a command to the chain, answered by {@link Effect.Respond} with its result, at the deadline at the
     * latest.
     */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.submit(command, token, now, deadline);
        processEffects(now);
    }

    /** Drops a submitted command whose caller has left; answered by {@link Effect.Respond} as unknown. */
    public void cancel(final long token, final long now) {
        advanceTime(now);
        chainClient.cancel(token);
        processEffects(now);
    }

    /** Reads the entries under a key prefix from the chain; answered like {@link #submit}. */
    public void read(final String keyPrefix, final long token, final long now, final long deadline) {
        advanceTime(now);
        chainClient.read(keyPrefix, token, now, deadline);
        processEffects(now);
    }

    /** Must be called when the write of an {@link Effect.Persist} has been synced. */
    public void onPersisted(final long token, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(replica -> replica.onSynced(token, now));
        processEffects(now);
    }

    /** Must be called when the write of an {@link Effect.SaveReports} has been synced. */
    public void onReportsSaved(final long token, final long now) {
        advanceTime(now);
        gossip.onReportsSaved(token, now);
        processEffects(now);
    }

    /** Must be called when the disk of the log has failed. */
    public void onDiskFailed(final String reason, final long now) {
        advanceTime(now);
        chainReplica.ifPresent(replica -> replica.onDiskFailed(reason));
        processEffects(now);
    }

    /** Must be called when the disk accepts writes again. The replica restarts from the contents of the log. */
    public void onDiskRecovered(final List<LogRecord> records, final long now) {
        advanceTime(now);
        chainReplica = chainReplica.map(replica -> replica.recovered(records, now));
        processEffects(now);
    }

    /** Sets whether this node accepts requests, which is announced to other nodes. */
    public void setReady(final boolean isReady) {
        membership.setReady(isReady);
    }

    /**
     * Starts a graceful shutdown: sends a last traffic report, announces that this node leaves, and requests that the
     * chain replica is taken out of the chain.
     */
    public void leave(final long now) {
        advanceTime(now);
        traffic.leave(now);
        membership.leave();
        chainReplica.ifPresent(ChainReplica::leave);
        processEffects(now);
    }

    /**
     * Does the periodic work that is due. Called about twenty times a second.
     *
     * @param wallTime the wall clock, in nanoseconds since the Unix epoch
     */
    public void tick(final long now, final long wallTime) {
        advanceTime(now);
        clock.slew(now, wallTime);
        clock.raiseToLogFloor(now);
        frames.retry(now);
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

    /** Returns the frames to send, and removes them. */
    public List<OutgoingFrame> drainFrames() {
        return frames.drain();
    }

    /** Returns the other pending effects, and removes them. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private void advanceTime(final long now) {
        currentTime = Math.max(currentTime, now);
        final long pause = pauses.observe(now);
        if (pause >= MIN_LOGGED_PAUSE_MICROS) {
            effects.add(new Effect.Log(Event.PAUSED, "no event was handled for " + pause + " us"));
        }
    }

    /**
     * Starts a new incarnation with a reset process clock; nothing that the node holds counts as confirmed any more.
     */
    private void rejoin(final long now, final String reason) {
        counters.increment(NodeCounters.REJOINS);
        clock.reset(now);
        frames.clear();
        dispatcher.onRejoin();
        gossip.resetFreshness();
        membership.startIncarnation(membership.self().incarnation() + 1);
        membership.restartJoin();
        effects.add(new Effect.Log(Event.REJOIN, reason));
    }

    /** Returns the effects of all components since the last call, and removes them. */
    private List<Effect> collectEffects() {
        final List<Effect> collected = new ArrayList<>(membership.drain());
        chainReplica.ifPresent(replica -> collected.addAll(replica.drain()));
        collected.addAll(gossip.drain());
        collected.addAll(chainClient.drain());
        collected.addAll(traffic.drain());
        return collected;
    }

    private void processEffects(final long now) {
        effectProcessor.process(now);
    }
}
