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
 * Propagates the replicated state, the worker reports and the membership to all nodes.
 *
 * <p>Changes that restrict routing (a worker that drains, falls silent or is gone; a suspected member; a higher
 * revision) are pushed at once to a few members, which forward them. Freshness, in contrast, is only renewed by pulls,
 * and dated to the time at which the puller sent its request. This class builds and dispatches messages and chooses
 * their receivers; the data is held by {@link StateCopy}, {@link AnnouncedWorkers} and {@link WorkerReports}.
 *
 * <p>It does no input or output: messages and log events are collected for {@link #drain}. Only the node's event loop
 * calls it. All times are microseconds of the node's monotonic clock.
 */
public final class Gossip {
    /** How many members a push goes to, if workers announce themselves to any node. */
    private static final int PUSH_FANOUT = 3;
    /** If the state or the reports are older than this, the node pulls more often and from more regions. */
    private static final long STALE_AGE_MICROS = 1_000_000L;

    private final Membership membership;
    private final PeerSelector peerSelector;
    private final MemberVersions memberVersions;
    private final PullSchedule pullSchedule;
    private final PullExchange pullExchange;
    private final StateCopy state;
    private final StateConfirmationLog confirmationLog = new StateConfirmationLog();
    private final AnnouncedWorkers announcedWorkers;
    private final Optional<WorkerReports> reports;
    private final Optional<AntiEntropy> antiEntropy;
    private final Optional<ReportStorage> storage;
    private final Optional<ReportQuorum> reportQuorum;
    private final Optional<QuorumResponder> quorumResponder;
    /** The tokens of callers that get their response after the next tick, which pushes the announcement. */
    private final List<Long> tokensAwaitingPush = new ArrayList<>();

    private final List<Effect> effects = new ArrayList<>();

    /**
     * How often a node pulls, and how worker reports are propagated.
     *
     * @param gatewayPullInterval microseconds between two pulls from gateways
     * @param controllerPullInterval microseconds between two pulls from controllers
     * @param reporting to which nodes workers announce themselves
     */
    public record Settings(long gatewayPullInterval, long controllerPullInterval, WorkerReporting reporting) {
        /** The defaults. */
        public static final Settings DEFAULTS = new Settings(250_000L, 400_000L);

        /** The values for a large fleet, whose workers announce themselves to controllers. */
        public static final Settings LARGE_FLEET =
                new Settings(1_000_000L, 400_000L, WorkerReporting.ToControllers.DEFAULTS);

        /** Creates settings by which workers announce themselves to any node. */
        public Settings(final long gatewayPullInterval, final long controllerPullInterval) {
            this(gatewayPullInterval, controllerPullInterval, new WorkerReporting.ToAnyNode());
        }
    }

    /**
     * A worker as this node knows it. Times are microseconds of this node's monotonic clock.
     *
     * @param worker its announcement
     * @param asOf the latest time as of which the announcement is known to be valid; empty if there is none
     * @param silent whether no controller received an announcement from it for the silence time-out
     * @param measuredAt the time to which its remaining warm-up and lifetime refer
     */
    public record ObservedWorker(Worker worker, Optional<Long> asOf, boolean silent, long measuredAt) {
        /** Creates a worker that isn't silent, whose remaining times refer to {@code asOf}, or 0 if that is empty. */
        public ObservedWorker(final Worker worker, final Optional<Long> asOf) {
            this(worker, asOf, false, asOf.orElse(0L));
        }

        /** Returns for how many microseconds from {@code now} the worker is still warming up. */
        public long warmupRemaining(final long now) {
            return worker.agedBy(now - measuredAt).warmupRemaining();
        }

        /** Returns how many microseconds ago this was last known to be valid; {@link Long#MAX_VALUE} if never. */
        public long age(final long now) {
            return asOf.map(time -> now - time).orElse(Long.MAX_VALUE);
        }
    }

    /** Creates the gossip of a node that has no state, reports or announcements yet. */
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
        this.pullExchange = new PullExchange(membership, memberVersions, state, announcedWorkers, reports, antiEntropy);
        this.storage = reports.map(r -> new ReportStorage(r, safeguards));
        this.reportQuorum = reports.map(r -> new ReportQuorum(
                r,
                storage.orElseThrow(),
                () -> peerSelector.controllerAddresses(state.view()),
                () -> PeerSelector.voterAddresses(state.view()),
                membership.self().address(),
                safeguards));
        this.quorumResponder = antiEntropy.map(a -> new QuorumResponder(a, storage.orElseThrow(), effects::add));
    }

    /** Returns this node's copy of the replicated state. The caller must not change it. */
    public StateMachine stateMachine() {
        return state.stateMachine();
    }

    /** Returns the newest view that this node received. */
    public View view() {
        return state.view();
    }

    /** Returns the number that identifies the fleet, or 0 before it is known. */
    public long fleet() {
        return state.fleet();
    }

    /** Returns the highest revision known to exist, whether or not this node holds it. */
    public long highestRevision() {
        return state.highestRevision();
    }

    /** Returns how many microseconds ago the state was last known to be the newest; the largest long if unknown. */
    public long stateAge(final long now) {
        return state.age(now);
    }

    /** Returns as of when the state contains every acknowledged change, whether or not a higher revision is known. */
    public Optional<Long> lastConfirmedAt() {
        return state.lastConfirmedAt();
    }

    /** Returns the known workers, by id. */
    public Map<String, ObservedWorker> workers() {
        return reports.map(r -> r.workers()).orElseGet(announcedWorkers::snapshot);
    }

    /**
     * Returns how many microseconds ago the worker reports here were last known to be the newest; the largest long if
     * that isn't known, as is always so if workers announce themselves to any node.
     */
    public long reportsAge(final long now) {
        final int controllerCount = peerSelector.otherControllers().size() + 1;
        return reports.flatMap(r -> r.confirmedAt(controllerCount, now))
                .map(time -> Math.max(0, now - time))
                .orElse(Long.MAX_VALUE);
    }

    /** Returns a digest that changes with any worker report; 0 if workers announce themselves to any node. */
    public long reportsDigest() {
        return reports.map(r -> r.digests().total()).orElse(0L);
    }

    /**
     * Merges the reports that were saved before a restart, and starts saving them by {@link Effect.SaveReports}. Must be
     * called before the first tick of a node with a disk. Newer reports, known or received later, supersede the saved ones.
     */
    public void openReportStorage(final List<WorkerReport> saved, final long now) {
        reports.ifPresent(r -> saved.forEach(report -> r.restore(report, now)));
        storage.ifPresent(ReportStorage::open);
    }

    /** Must be called when the write of an {@link Effect.SaveReports} has been synced. */
    public void onReportsSaved(final long token, final long now) {
        storage.ifPresent(s -> s.onSaved(token));
        reportQuorum.ifPresent(ReportQuorum::onSaved);
        quorumResponder.ifPresent(responder -> responder.onSaved(now));
        storage.ifPresent(s -> s.saveIfChanged(now));
    }

    /** Returns the state to save for a restart of this node. */
    public GossipMessage.GossipPullReply stateToSave() {
        return state.snapshot();
    }

    /** Applies the state that was saved before a restart, before the first tick. The state counts as unconfirmed. */
    public void restoreState(final GossipMessage.GossipPullReply saved) {
        state.restore(saved);
    }

    /** Handles the reply to a join request: pulls from that node at once if the age of the state isn't known. */
    public void onJoinReply(final String address, final long now) {
        if (stateAge(now) == Long.MAX_VALUE && pullSchedule.tryPullAfterJoinReply(now)) {
            send(address, pullExchange.request(now));
        }
    }

    /** Discards all ages and confirmations, as a rejoin requires; the state, reports and announcements stay. */
    public void resetFreshness() {
        reports.ifPresent(WorkerReports::resetFreshness);
        antiEntropy.ifPresent(AntiEntropy::reset);
        state.resetFreshness();
        announcedWorkers.resetFreshness();
    }

    /**
     * Adopts the state and the view of this node's replica, if they are newer.
     *
     * @param isConfirmed whether the state is the newest as of {@code confirmedAt}; if not, only the view is adopted
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
     * Processes an announcement that a worker made to this node.
     *
     * @param echo the token returned for the worker's previous announcement here; it proves how old this one is
     * @return the token that the worker has to return next time; 0 if workers announce themselves to controllers
     */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        if (reports.isEmpty()) {
            return announcedWorkers.announce(worker, echo, now);
        }
        reports.get().announce(worker, now);
        pushChanges(now);
        return 0;
    }

    /** Ends a worker's incarnation and pushes that. Returns false if the worker isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        final boolean isKnown = reports.map(r -> r.markGone(id, now)).orElseGet(() -> announcedWorkers.markGone(id));
        pushChanges(now);
        return isKnown;
    }

    /**
     * Responds by {@link Effect.Respond} whether a majority of the controllers holds the newest report on a worker, so
     * that it will reach every node that can reach a majority, whatever partition follows; false if not by the
     * deadline. If workers announce themselves to any node, responds with true once the announcement was pushed.
     */
    public void confirmReport(final String workerId, final long token, final long now, final long deadline) {
        reportQuorum.ifPresentOrElse(
                quorum -> quorum.confirm(workerId, token, now, deadline), () -> confirmForwarded(workerId, token));
        storage.ifPresent(s -> s.saveIfChanged(now));
    }

    private void confirmForwarded(final String workerId, final long token) {
        if (announcedWorkers.markConfirmed(workerId)) {
            effects.add(new Effect.Respond(token, true));
        } else {
            tokensAwaitingPush.add(token);
        }
    }

    /** Processes a message of the gossip protocol; ignores any other message. */
    public void onMessage(final Message message, final String sender, final long now) {
        switch (message) {
            case GossipMessage.GossipPull pull -> send(sender, pullExchange.reply(pull, sender, reportsAge(now), now));
            case GossipMessage.GossipPullReply reply -> onPullReply(reply, sender, now);
            case GossipMessage.ReportVersions versions -> onReportVersions(versions, sender, now);
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

    private void onReportVersions(final GossipMessage.ReportVersions versions, final String sender, final long now) {
        if (ReportQuorum.isQuery(versions)) {
            quorumResponder.ifPresent(responder -> responder.onQuery(versions, sender, now));
        } else {
            antiEntropy.ifPresent(a -> send(sender, a.missingReports(versions, now)));
        }
    }

    /** Pushes changes, and sends the pulls that are due. Called about twenty times a second. */
    public void tick(final long now) {
        reports.ifPresent(r -> r.tick(peerSelector.otherControllers(), now));
        pushChanges(now);
        pullSchedule.gatewaysToPull(() -> isStale(now), now).forEach(m -> send(m.address(), pullExchange.request(now)));
        pullSchedule
                .controllersToPull(state.view(), () -> isStale(now), now)
                .forEach(m -> send(m.address(), pullExchange.request(now)));
        if (lastConfirmedAt().isEmpty()) {
            pullSchedule
                    .controllersForInitialPull(state.view(), now)
                    .forEach(m -> send(m.address(), pullExchange.request(now)));
        }
        confirmationLog.update(lastConfirmedAt(), state.revision(), now).ifPresent(effects::add);
        announcedWorkers.expire(now);
        storage.ifPresent(s -> s.saveIfChanged(now));
        quorumResponder.ifPresent(responder -> responder.tick(now));
        reportQuorum.ifPresent(quorum -> quorum.tick(now));
        tokensAwaitingPush.forEach(token -> effects.add(new Effect.Respond(token, true)));
        tokensAwaitingPush.clear();
    }

    /** Returns the pending messages and log events, and removes them. */
    public List<Effect> drain() {
        storage.ifPresent(s -> effects.addAll(s.drain()));
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

    private void onPullReply(final GossipMessage.GossipPullReply reply, final String sender, final long now) {
        if (pullExchange.accepts(reply)) {
            pullExchange.mergeContent(reply, sender, now).ifPresent(versions -> send(sender, versions));
            if (state.onPullReply(reply)) {
                pushRevision();
            }
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
            send(sender, pullExchange.request(now));
        }
    }
}
