package silverlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.StateMachine;
import silverlatch.wire.GossipMessage;
import silverlatch.wire.Message;

/**
 * Spreads the replicated state, the reports on workers and the membership among all nodes.
 *
 * <p>What restricts (a worker that drains, falls silent or is gone; a member that is suspected; a higher revision) is pushed
 * at once to a few members, who push it on. How fresh things are is renewed by pulls only, and dated from the moment at which
 * the puller sent its request. This class takes messages apart, builds them and says to whom they go; what it knows is in
 * {@link StateCopy}, {@link AnnouncedWorkers} and {@link WorkerReports}.
 *
 * <p>It does no input or output: what is to be sent and logged is collected for {@link #drain}. The node's event loop alone
 * calls it. All times are microseconds of the node's monotonic clock.
 */
public final class Gossip {
    private static final int PUSH_FANOUT = 3;
    private static final long STALE_AGE_MICROS = 1_000_000L;
    private static final long UNKNOWN_AGE = -1;

    private final Membership membership;
    private final PeerSelector peerSelector;
    private final MemberVersions memberVersions;
    private final PullSchedule pullSchedule;
    private final PullHistory pulls = new PullHistory();
    private final StateCopy state;
    private final AnnouncedWorkers announcedWorkers;
    private final Optional<WorkerReports> reports;
    private final Optional<AntiEntropy> antiEntropy;
    private final Optional<ReportQuorum> reportQuorum;
    /** The tokens of callers that are answered once the next tick has pushed what was announced. */
    private final List<Long> tokensAwaitingPush = new ArrayList<>();

    private final List<Effect> effects = new ArrayList<>();

    /**
     * How often a node pulls, and how reports on workers spread.
     *
     * @param gatewayPullInterval    microseconds between two pulls from gateways
     * @param controllerPullInterval microseconds between two pulls from controllers
     * @param reporting              to whom workers announce themselves
     */
    public record Settings(long gatewayPullInterval, long controllerPullInterval, WorkerReporting reporting) {
        /** The values that hold when the settings name none. */
        public static final Settings DEFAULTS = new Settings(250_000L, 400_000L);

        /** Values for a large fleet whose workers announce to controllers. */
        public static final Settings LARGE_FLEET =
                new Settings(1_000_000L, 400_000L, WorkerReporting.ToControllers.DEFAULTS);

        /** Makes settings where workers announce to any node. */
        public Settings(final long gatewayPullInterval, final long controllerPullInterval) {
            this(gatewayPullInterval, controllerPullInterval, new WorkerReporting.ToAnyNode());
        }
    }

    /**
     * A worker as this node knows it. Times are microseconds of this node's monotonic clock.
     *
     * @param worker     what it announced
     * @param asOf       the moment as of which that is surely true; empty when it was never renewed here
     * @param silent     whether no controller has heard from it for the silence time-out
     * @param measuredAt the moment as of which its remaining warm-up and lifetime are given
     */
    public record ObservedWorker(Worker worker, Optional<Long> asOf, boolean silent, long measuredAt) {
        /** Makes a worker that isn't silent, whose remaining times are those as of which it is true. */
        public ObservedWorker(final Worker worker, final Optional<Long> asOf) {
            this(worker, asOf, false, asOf.orElse(0L));
        }

        /** Returns for how many microseconds from now it is still warming up. */
        public long warmupRemaining(final long now) {
            return worker.agedBy(now - measuredAt).warmupRemaining();
        }

        /** Returns how many microseconds ago this was surely true; the largest long when it was never renewed here. */
        public long age(final long now) {
            return asOf.map(time -> now - time).orElse(Long.MAX_VALUE);
        }
    }

    /** Makes the gossip of a node that knows nothing yet. */
    public Gossip(
            final Membership membership,
            final RandomGenerator random,
            final Settings settings,
            final Safeguards safeguards) {
        this.membership = membership;
        this.peerSelector = new PeerSelector(membership, random);
        this.memberVersions = new MemberVersions(membership);
        this.pullSchedule = new PullSchedule(settings, membership, peerSelector);
        this.state = new StateCopy(safeguards);
        this.announcedWorkers = new AnnouncedWorkers(random, effects::add);
        this.reports = settings.reporting() instanceof WorkerReporting.ToControllers reporting
                ? Optional.of(new WorkerReports(reporting, peerSelector.isController()))
                : Optional.empty();
        this.antiEntropy = reports.map(r -> new AntiEntropy(r, peerSelector, memberVersions, membership));
        this.reportQuorum = reports.map(r -> new ReportQuorum(
                r,
                () -> peerSelector.controllerAddresses(state.view()),
                membership.self().address(),
                safeguards));
    }

    /** Returns this node's copy of the replicated state; the caller doesn't change it. */
    public StateMachine stateMachine() {
        return state.stateMachine();
    }

    /** Returns the newest view heard of. */
    public View view() {
        return state.view();
    }

    /** Returns the fleet's number, or 0 before it is known. */
    public long fleet() {
        return state.fleet();
    }

    /** Returns the highest revision heard of, held or not. */
    public long highestRevision() {
        return state.highestRevision();
    }

    /** Returns how many microseconds ago the state here was surely the newest; the largest long where that isn't known. */
    public long stateAge(final long now) {
        return state.age(now);
    }

    /** Returns as of when the state here surely lacked no acknowledged change, also while a higher revision is known. */
    public Optional<Long> lastConfirmedAt() {
        return state.lastConfirmedAt();
    }

    /** Returns the workers known, by name. */
    public Map<String, ObservedWorker> workers() {
        return reports.map(r -> r.workers()).orElseGet(announcedWorkers::snapshot);
    }

    /**
     * Returns how many microseconds ago the reports here were surely the newest; the largest long where that isn't known,
     * which is always so where workers announce to any node.
     */
    public long reportsAge(final long now) {
        final int controllerCount = peerSelector.otherControllers().size() + 1;
        return reports.flatMap(r -> r.confirmedAt(controllerCount, now))
                .map(time -> Math.max(0, now - time))
                .orElse(Long.MAX_VALUE);
    }

    /** Returns a digest over the reports of workers that announce to controllers; it changes when one of them does. */
    public long reportsDigest() {
        return reports.map(r -> r.digests().total()).orElse(0L);
    }

    /** Returns the reports that are to survive a restart of this node, as of now. */
    public List<WorkerReport> activeReports(final long now) {
        return reports.map(r -> r.activeReports(now)).orElse(List.of());
    }

    /** Takes the reports that survived a restart; newer ones, known or to come, supersede them. */
    public void restoreReports(final List<WorkerReport> restored, final long now) {
        reports.ifPresent(r -> restored.forEach(report -> r.merge(report, false, now)));
    }

    /** Returns the state to be kept over a restart of this node. */
    public GossipMessage.GossipPullReply stateToSave() {
        return state.snapshot();
    }

    /** Takes the state that was kept over a restart, before the first tick; it is not confirmed by that. */
    public void restoreState(final GossipMessage.GossipPullReply saved) {
        state.restore(saved);
    }

    /** A node that was greeted has replied: while the state here was never confirmed, it is asked for its own at once. */
    public void onJoinReply(final String address, final long now) {
        if (stateAge(now) == Long.MAX_VALUE && pullSchedule.tryPullAfterJoinReply(now)) {
            send(address, pullRequest(now));
        }
    }

    /** Forgets how fresh everything is, as a rejoin does; what is known stays. */
    public void resetFreshness() {
        reports.ifPresent(WorkerReports::resetFreshness);
        antiEntropy.ifPresent(AntiEntropy::reset);
        state.resetFreshness();
        announcedWorkers.resetFreshness();
    }

    /**
     * Takes what the replica on this node holds.
     *
     * @param isConfirmed whether that was surely the newest at {@code confirmedAt}; if not only the view is taken
     */
    public void adoptReplicaState(
            final StateMachine replicaState,
            final View replicaView,
            final boolean isConfirmed,
            final long confirmedAt) {
        if (state.adopt(replicaState, replicaView, isConfirmed, confirmedAt)) {
            pushRevision();
        }
    }

    /**
     * Takes an announcement that a worker made to this node.
     *
     * @param echo the token that this node returned for the worker's last announcement here; it proves how old this one is
     * @return the token that the worker is to hand back; 0 where workers announce to controllers
     */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        if (reports.isEmpty()) {
            return announcedWorkers.announce(worker, echo, now);
        }
        reports.get().announce(worker, now);
        pushChanges(now);
        return 0;
    }

    /** Ends a worker's incarnation; returns false when it isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        final boolean isKnown = reports.map(r -> r.markGone(id, now)).orElseGet(() -> announcedWorkers.markGone(id));
        pushChanges(now);
        return isKnown;
    }

    /**
     * Answers by {@link Effect.Respond} whether the newest report on a worker will reach every node that a majority of the controllers
     * reaches, whatever partition follows; at the deadline at last. Where workers announce to any node, once it is pushed.
     */
    public void confirmReport(final String workerId, final long token, final long now, final long deadline) {
        reportQuorum.ifPresentOrElse(
                quorum -> quorum.confirm(workerId, token, now, deadline), () -> confirmForwarded(workerId, token));
    }

    private void confirmForwarded(final String workerId, final long token) {
        if (announcedWorkers.markConfirmed(workerId)) {
            effects.add(new Effect.Respond(token, true));
        } else {
            tokensAwaitingPush.add(token);
        }
    }

    /** Takes a message of the gossip protocol; any other is ignored. */
    public void onMessage(final Message message, final String sender, final long now) {
        switch (message) {
            case GossipMessage.GossipPull pull -> send(sender, pullReply(pull, sender, now));
            case GossipMessage.GossipPullReply reply -> onPullReply(reply, sender, now);
            case GossipMessage.ReportVersions versions ->
                antiEntropy.ifPresent(a -> send(sender, a.missingReports(versions, now)));
            case GossipMessage.MissingReports missing -> {
                antiEntropy
                        .flatMap(a -> a.onMissingReports(missing, sender, now))
                        .ifPresent(answer -> send(sender, answer));
                reportQuorum.ifPresent(quorum -> quorum.onMissingReports(missing, sender));
            }
            case GossipMessage.GossipPush push -> onPush(push, sender, now);
            default -> {}
        }
    }

    /** Pushes what has changed and pulls where that is due; called some twenty times a second. */
    public void tick(final long now) {
        reports.ifPresent(r -> r.tick(peerSelector.otherControllers(), now));
        pushChanges(now);
        pullSchedule.gatewaysToPull(() -> isStale(now), now).forEach(m -> send(m.address(), pullRequest(now)));
        pullSchedule
                .controllersToPull(state.view(), () -> isStale(now), now)
                .forEach(m -> send(m.address(), pullRequest(now)));
        if (lastConfirmedAt().isEmpty()) {
            pullSchedule.controllersForInitialPull(state.view(), now).forEach(m -> send(m.address(), pullRequest(now)));
        }
        announcedWorkers.expire(now);
        reportQuorum.ifPresent(quorum -> quorum.tick(now));
        tokensAwaitingPush.forEach(token -> effects.add(new Effect.Respond(token, true)));
        tokensAwaitingPush.clear();
    }

    /** Returns what is to be sent and logged; each effect is handed out once. */
    public List<Effect> drain() {
        reportQuorum.ifPresent(quorum -> effects.addAll(quorum.drain()));
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private boolean isStale(final long now) {
        return stateAge(now) > STALE_AGE_MICROS || reportsAge(now) > STALE_AGE_MICROS;
    }

    private void send(final String address, final Message message) {
        effects.add(new Effect.Send(address, message));
    }

    private void pushChanges(final long now) {
        final List<Member> members = membership.drainUpdates();
        final List<WorkerReport> changedReports =
                reports.map(r -> r.drainChanged(now)).orElse(List.of());
        reports.ifPresent(r -> effects.addAll(r.drain()));
        final List<Worker> draining = announcedWorkers.drainNewlyDraining();
        if (!members.isEmpty() || !draining.isEmpty() || !changedReports.isEmpty()) {
            push(new GossipMessage.GossipPush(members, draining, changedReports, highestRevision()));
        }
    }

    private void pushRevision() {
        state.drainUnpushedRevision()
                .ifPresent(revision -> push(new GossipMessage.GossipPush(List.of(), List.of(), revision)));
    }

    private void push(final GossipMessage.GossipPush message) {
        final List<Member> targets = reports.isPresent()
                ? peerSelector.pushTargets()
                : peerSelector.sample(membership.liveMembers(), PUSH_FANOUT);
        targets.forEach(m -> send(m.address(), message));
    }

    private void onPush(final GossipMessage.GossipPush push, final String sender, final long now) {
        reports.ifPresent(r -> push.reports().forEach(report -> r.merge(report, true, now)));
        push.members().forEach(member -> membership.applyUpdate(member, now));
        push.workers().forEach(announcedWorkers::merge);
        if (state.observeRevision(push.revision())) {
            send(sender, pullRequest(now));
        }
    }

    private GossipMessage.GossipPull pullRequest(final long now) {
        pulls.record(now);
        return new GossipMessage.GossipPull(
                now,
                state.revision(),
                state.view().number(),
                reports.isPresent() ? List.of() : announcedWorkers.versions(),
                reports.isPresent() ? memberVersions.digests().total() : memberVersions.membershipDigest(),
                reportsDigest());
    }

    private GossipMessage.GossipPullReply pullReply(
            final GossipMessage.GossipPull pull, final String sender, final long now) {
        final long age = stateAge(now);
        return new GossipMessage.GossipPullReply(
                pull.askedAt(),
                state.revision(),
                age == Long.MAX_VALUE ? UNKNOWN_AGE : Math.max(0, age),
                state.fleet(),
                state.entriesSince(pull.revision()),
                state.viewNewerThan(pull.view()),
                antiEntropy
                        .<GossipMessage.PullContent>map(a -> a.digestContent(pull, sender, reportsAge(now), now))
                        .orElseGet(() -> fullContent(pull, now)));
    }

    private GossipMessage.PullContent.FullContent fullContent(final GossipMessage.GossipPull pull, final long now) {
        final boolean membersDiffer = pull.membershipDigest() != memberVersions.membershipDigest();
        return new GossipMessage.PullContent.FullContent(
                announcedWorkers.agesFor(pull.versions(), now),
                announcedWorkers.newerThan(pull.versions()),
                membersDiffer ? membership.all() : List.of());
    }

    private void onPullReply(final GossipMessage.GossipPullReply reply, final String sender, final long now) {
        if (!pulls.contains(reply.askedAt()) || !state.acceptsFleet(reply.fleet())) {
            return;
        }
        switch (reply.content()) {
            case GossipMessage.PullContent.FullContent content -> onFullContent(content, reply.askedAt(), now);
            case GossipMessage.PullContent.DigestContent content ->
                antiEntropy
                        .flatMap(a -> a.onDigestContent(content, reply.askedAt(), sender))
                        .ifPresent(versions -> send(sender, versions));
        }
        if (state.onPullReply(reply)) {
            pushRevision();
        }
    }

    private void onFullContent(
            final GossipMessage.PullContent.FullContent content, final long pullSentAt, final long now) {
        content.members().forEach(member -> membership.applyUpdate(member, now));
        content.workers().forEach(announcedWorkers::merge);
        announcedWorkers.onAges(content.ages(), pullSentAt);
    }
}
