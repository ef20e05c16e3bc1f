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
 * The proposer of single-decree Paxos for the number after the installed view. Each tick of a member of the chain, or of a
 * standby, asks it whether the chain should change; {@link ViewPlanner} says how.
 *
 * <p>Legal transitions of a proposal: none, preparing (collects promises), accepting (collects acceptances), none, once it is decided,
 * preempted, or too old. Members with a higher rank propose later, and one that was preempted holds back, so that proposers don't preempt
 * each other for ever.
 */
final class ViewProposer {
    /** The low bits of a ballot name its proposer's index among the voters, the others count its rounds. */
    private static final int BALLOT_PROPOSER_BITS = 8;

    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ViewAcceptor acceptor;
    private final FailureDetector failureDetector;
    private final EffectQueue effects;
    private final Map<String, ReplicationMessage.JoinRequest> joinRequests = new TreeMap<>();
    private Optional<Proposal> proposal = Optional.empty();
    private long highestRound;
    /** Since when the chain should change, or 0. */
    private long changeDueSince;
    /** When another proposer's ballot was promised or preempted this one's, or 0. */
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

    /** A view was installed: what was under way for its number has ended. */
    void installView() {
        proposal = Optional.empty();
        changeDueSince = 0;
        preemptedAt = 0;
        joinRequests.clear();
    }

    /** A repaired replica asks to be put at the end of the chain. */
    void handleJoinRequest(final ReplicationMessage.JoinRequest request) {
        joinRequests.put(request.sender().id(), request);
    }

    /** Whether a replica asks to join. */
    boolean isJoining(final String id) {
        return joinRequests.containsKey(id);
    }

    /** The replicas that ask to join, by identity. */
    Collection<ReplicationMessage.JoinRequest> joinRequests() {
        return joinRequests.values();
    }

    /** Proposes the next view where the chain should change and no other proposer is to go first. */
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

    /** Proposes this replica as the only member where all of a chain are lost, if it is a standby whose repair is on disk. */
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

    /** This replica's index among those that may propose: those with a higher one let the others go first. */
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

    /** Another proposer's ballot was promised: it goes first. */
    void backOff(final long now) {
        preemptedAt = now;
    }

    /** A voter has promised a higher ballot. */
    void handlePreempted(final ReplicationMessage.Preempted reply, final long now) {
        highestRound = Math.max(highestRound, reply.ballot() >> BALLOT_PROPOSER_BITS);
        backOff(now);
        proposal = proposal.filter(current -> current.number() != reply.number());
    }

    /** Takes a promise. */
    void handlePromise(final ReplicationMessage.Promise reply, final long now) {
        proposal.filter(current -> current.matches(reply.number(), reply.ballot()) && !current.isAccepting())
                .ifPresent(current -> recordPromise(current, reply, now));
    }

    /**
     * Asks for acceptances once a majority has promised. The proposer's own promise must be among them: it is synced, so a ballot is not
     * used again for another view after a restart.
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

    /** Takes an acceptance; the view, where a majority has accepted it. All that it concerns are sent it. */
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
