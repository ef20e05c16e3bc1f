package silverlatch.replication;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * The proposer of single-decree Paxos for the view number after the installed one. Members of the chain and standbys call it on each
 * tick; it proposes the view that {@link ViewPlanner} plans, or else a view that was accepted here and may already be decided.
 *
 * <p>Legal transitions of a proposal: none, preparing (collects promises), accepting (collects acceptances), and back to none once it is
 * decided, preempted or timed out. To keep proposers from preempting each other forever, a replica with a higher rank proposes later, and
 * a preempted one backs off.
 */
final class ViewProposer {
    /** The number of low bits of a ballot that hold the proposer's index among the voters; the high bits hold the round. */
    private static final int BALLOT_PROPOSER_BITS = 8;

    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ViewAcceptor acceptor;
    private final FailureDetector failureDetector;
    private final EffectQueue effects;
    private final Map<String, ReplicationMessage.JoinRequest> joinRequests = new TreeMap<>();
    private Optional<Proposal> proposal = Optional.empty();
    private long highestRound;
    /** Since when a change of the view has been due, in microseconds, or 0 if none is due. */
    private long changeDueSince;
    /** When the ballot of another proposer was promised here or preempted this proposer's, in microseconds, or 0. */
    private long preemptedAt;

    ViewProposer(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final ViewAcceptor acceptor,
            final FailureDetector failureDetector,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.acceptor = acceptor;
        this.failureDetector = failureDetector;
        this.effects = effects;
    }

    /** Clears the proposal and the join requests after a view was installed: they were for that view's number. */
    void installView() {
        proposal = Optional.empty();
        changeDueSince = 0;
        preemptedAt = 0;
        joinRequests.clear();
    }

    /** Records the request of a repaired replica to be added at the end of the chain. */
    void handleJoinRequest(final ReplicationMessage.JoinRequest request) {
        joinRequests.put(request.sender().id(), request);
    }

    /** Returns whether the replica with this identity has requested to join. */
    boolean isJoining(final String id) {
        return joinRequests.containsKey(id);
    }

    /** Returns the pending join requests, in the order of their senders' identities. */
    Collection<ReplicationMessage.JoinRequest> joinRequests() {
        return joinRequests.values();
    }

    /** Proposes the next view if a change is due and no other proposer should go first. */
    void proposeNextView(final boolean isLeaving, final long now) {
        if (!mayStartProposal(now)) {
            return;
        }
        if (role.isCaughtUp()) {
            failureDetector.addSelfAsCaughtUp();
        }
        final ViewPlanner planner = planner(now);
        final Optional<View> next =
                planner.next(isLeaving, joinRequests.values()).or(acceptor::acceptedView);
        trackDueChange(next.isPresent(), planner, now);
        final int rank = isLeaving && planner.suspected().isEmpty()
                ? 0
                : rankAmong(planner.reachableVoters().stream()
                        .filter(voter -> role.view().positionOf(voter.id()) >= 0));
        next.filter(view -> mayPropose(planner, rank, now)).ifPresent(view -> prepare(view, now));
    }

    /** Proposes this replica as the only member if all members of the chain are lost and it is a standby whose repair is synced. */
    void proposeTakeover(final boolean isLeaving, final long now) {
        final boolean mayTakeOver = role.isStandby()
                && effects.isAllSynced()
                && !isLeaving
                && settings.safeguards().isEnabled(Safeguard.TAKEOVER);
        if (!mayTakeOver || !mayStartProposal(now)) {
            return;
        }
        final ViewPlanner planner = planner(now);
        final Optional<View> next = planner.takeover();
        trackDueChange(next.isPresent(), planner, now);
        final int rank = rankAmong(planner.reachableVoters().stream());
        next.filter(view -> mayPropose(planner, rank, now)).ifPresent(view -> prepare(view, now));
    }

    private boolean mayStartProposal(final long now) {
        if (proposal.isPresent() && now - proposal.get().startedAt() < proposalTimeoutMicros()) {
            return false;
        }
        proposal = Optional.empty();
        return role.isVoter() && settings.safeguards().isEnabled(Safeguard.CHAIN_REPAIR);
    }

    /** Remembers since when a change has been due, and logs the suspected members when it becomes due. */
    private void trackDueChange(final boolean isChangeDue, final ViewPlanner planner, final long now) {
        if (!isChangeDue) {
            changeDueSince = 0;
        } else if (changeDueSince == 0) {
            changeDueSince = now;
            planner.suspected().forEach(member -> effects.log(Event.CHAIN_SUSPECT, member.address()));
        }
    }

    private long proposalTimeoutMicros() {
        return settings.leaseMicros() * 2 + settings.suspicionMicros();
    }

    private ViewPlanner planner(final long now) {
        return new ViewPlanner(
                settings, role.view(), id -> failureDetector.silenceMicros(id, now), failureDetector.caughtUpMembers());
    }

    private boolean mayPropose(final ViewPlanner planner, final int rank, final long now) {
        final long suspicion = settings.suspicionMicros();
        final boolean othersPropose = preemptedAt > 0 && now - preemptedAt < suspicion + rank * suspicion / 2;
        return !othersPropose
                && now - changeDueSince >= rank * suspicion
                && role.view().isMajority(planner.reachableVoters().size());
    }

    /** Returns this replica's index among the possible proposers; a replica with a higher index waits longer before it proposes. */
    private int rankAmong(final Stream<Replica> proposers) {
        final List<String> ids = proposers.map(Replica::id).toList();
        return Math.max(0, ids.indexOf(settings.self().id()));
    }

    private void prepare(final View next, final long now) {
        final View view = role.view();
        highestRound = Math.max(highestRound, acceptor.promisedBallot() >> BALLOT_PROPOSER_BITS) + 1;
        final int voterIndex = view.voters().stream()
                .map(Replica::id)
                .toList()
                .indexOf(settings.self().id());
        final long ballot = highestRound << BALLOT_PROPOSER_BITS | voterIndex;
        final long number = view.number() + 1;
        proposal = Optional.of(Proposal.prepare(number, ballot, next, now));
        effects.log(Event.PROPOSED, "view " + number + " chain " + next.chainAddresses());
        view.voters().forEach(voter -> effects.send(voter.address(), new ReplicationMessage.Prepare(number, ballot)));
    }

    /** Delays this replica's own proposals, as the ballot of another proposer was promised. */
    void backOff(final long now) {
        preemptedAt = now;
    }

    /** Handles the reply of a voter that has promised a higher ballot: drops the proposal and backs off. */
    void handlePreempted(final ReplicationMessage.Preempted reply, final long now) {
        highestRound = Math.max(highestRound, reply.ballot() >> BALLOT_PROPOSER_BITS);
        backOff(now);
        proposal = proposal.filter(current -> current.number() != reply.number());
    }

    /** Handles the promise of a voter, if it is for the current proposal. */
    void handlePromise(final ReplicationMessage.Promise reply, final long now) {
        proposal.filter(current -> current.matches(reply.number(), reply.ballot()) && !current.isAccepting())
                .ifPresent(current -> recordPromise(current, reply, now));
    }

    /**
     * Records a promise, and sends accept requests once a majority has promised. The proposer's own promise must be among them: it is
     * synced to disk, so that after a restart the proposer doesn't reuse the ballot for another view.
     */
    private void recordPromise(final Proposal current, final ReplicationMessage.Promise reply, final long now) {
        current.supporters().add(reply.voter());
        final boolean reportsHigher = reply.acceptedBallot() > current.highestAcceptedBallot()
                && !reply.acceptedView().isEmpty();
        final Proposal highest = reportsHigher
                ? current.withView(reply.acceptedBallot(), reply.acceptedView().get(0))
                : current;
        proposal = Optional.of(highest);
        if (!role.view().isMajority(highest.supporters().size())
                || !highest.supporters().contains(settings.self().id())) {
            return;
        }
        final Proposal chosen =
                highest.mayChooseView() ? highest.withView(0, withPromisingMembers(highest, now)) : highest;
        proposal = Optional.of(chosen.toAccept());
        role.view()
                .voters()
                .forEach(voter -> effects.send(
                        voter.address(),
                        new ReplicationMessage.Accept(chosen.number(), chosen.ballot(), chosen.view())));
    }

    private View withPromisingMembers(final Proposal promised, final long now) {
        return planner(now).withPromisingMembers(promised.view(), promised.supporters());
    }

    /**
     * Records the acceptance of a voter. Once a majority has accepted, sends the decided view to the voters of the installed view and to
     * the voters and members of the decided one.
     *
     * @return the decided view, if a majority has accepted it
     */
    Optional<View> handleAccepted(final ReplicationMessage.Accepted reply) {
        final Optional<Proposal> accepting =
                proposal.filter(current -> current.matches(reply.number(), reply.ballot()) && current.isAccepting());
        accepting.ifPresent(current -> current.supporters().add(reply.voter()));
        final Optional<View> decided = accepting
                .filter(current -> role.view().isMajority(current.supporters().size()))
                .map(Proposal::view);
        decided.ifPresent(this::sendDecided);
        return decided;
    }

    private void sendDecided(final View decided) {
        final Set<Replica> recipients = new HashSet<>(role.view().voters());
        recipients.addAll(decided.voters());
        recipients.addAll(decided.chain());
        recipients.stream()
                .filter(recipient -> !recipient.equals(settings.self()))
                .sorted(Comparator.comparing(Replica::id))
                .forEach(recipient -> effects.send(recipient.address(), new ReplicationMessage.ViewDecided(decided)));
    }
}
