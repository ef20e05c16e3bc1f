package silverlatch.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Plans the view that should follow the installed one, from what one replica knows about the other replicas. A planner has no state of
 * its own: {@link ViewProposer} creates one for each decision and proposes the planned view.
 */
final class ViewPlanner {
    private final ReplicaSettings settings;
    private final View view;
    private final ToLongFunction<String> silenceMicros;
    private final Set<String> caughtUpMembers;

    /**
     * Creates a planner for the view that follows the given one.
     *
     * @param silenceMicros   for how long a replica has been silent, by identity, in microseconds
     * @param caughtUpMembers the identities of the members that have caught up
     */
    ViewPlanner(
            final ReplicaSettings settings,
            final View view,
            final ToLongFunction<String> silenceMicros,
            final Set<String> caughtUpMembers) {
        this.settings = settings;
        this.view = view;
        this.silenceMicros = silenceMicros;
        this.caughtUpMembers = caughtUpMembers;
    }

    /** Returns the voters that are not suspected. */
    List<Replica> reachableVoters() {
        return view.voters().stream().filter(voter -> !suspected(voter)).toList();
    }

    /** Returns the members of the chain that are suspected. */
    List<Replica> suspected() {
        return view.chain().stream().filter(this::suspected).toList();
    }

    /**
     * Returns the next view, or empty if the installed view needs no change. The first change that applies is made: remove the suspected
     * members, and this one if it is leaving; add a replica that requests to join; remove the votes of dead voters. If the chain would
     * become shorter than the number of required copies, a joining replica is added before members are removed.
     */
    Optional<View> next(final boolean leaving, final Collection<ReplicationMessage.JoinRequest> joinRequests) {
        final Optional<View> shortened = withoutSuspected(leaving);
        final Optional<View> joined = withFirstJoinRequest(joinRequests);
        if (shortened.map(v -> v.chain().size() < settings.minInSyncReplicas()).orElse(false) && joined.isPresent()) {
            return joined;
        }
        return shortened.or(() -> joined).or(this::withoutDeadVotes);
    }

    /**
     * Returns a view whose chain is this replica alone, if the installed chain is too short to acknowledge anything and all its members
     * are suspected.
     */
    Optional<View> takeover() {
        final boolean isShort = view.chain().size() < settings.minInSyncReplicas();
        return isShort && view.chain().stream().allMatch(this::suspected)
                ? Optional.of(withChain(List.of(settings.self()), false))
                : Optional.empty();
    }

    private Optional<View> withFirstJoinRequest(final Collection<ReplicationMessage.JoinRequest> joinRequests) {
        return joinRequests.stream()
                .filter(request -> request.view() == view.number()
                        && view.positionOf(request.sender().id()) < 0)
                .filter(request -> !suspected(request.sender()))
                .filter(request -> !addressInChain(request.sender().address()))
                .map(request -> withJoiningReplica(request.sender()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Returns whether the next chain starts with the complete old chain in the same order. Then no removed member can answer reads on
     * behalf of the old view.
     */
    static boolean isExtension(final View old, final View next) {
        return next.chain().size() >= old.chain().size()
                && next.chain().subList(0, old.chain().size()).equals(old.chain());
    }

    /**
     * Returns a view without the suspected members, and without this member if it is leaving and enough of the others have caught up.
     * If any member is suspected, other members that have been silent for most of the suspicion timeout are removed with it. At least one
     * member that has caught up must remain; otherwise acknowledged writes could be lost with the removed members. A leaving member gives
     * up its vote at once if at least {@link #minVoters}, so at least three, voters remain: the others receive its heartbeats until its
     * process stops, and until then they would count it as a live voter when another replica joins or leaves.
     */
    private Optional<View> withoutSuspected(final boolean leaving) {
        final boolean anySuspected = view.chain().stream().anyMatch(this::suspected);
        final long silenceLimit = Math.max(
                settings.suspicionMicros() / 2, settings.suspicionMicros() - 2 * settings.leaseRequestMicros());
        final List<Replica> responsive = view.chain().stream()
                .filter(member -> !anySuspected || silenceMicros.applyAsLong(member.id()) <= silenceLimit)
                .toList();
        final List<Replica> others = responsive.stream()
                .filter(member -> !member.id().equals(settings.self().id()))
                .toList();
        final boolean leaves = leaving && hasEnoughCaughtUp(others);
        final List<Replica> chain = leaves ? others : responsive;
        if (chain.size() == view.chain().size()
                || chain.stream().noneMatch(member -> caughtUpMembers.contains(member.id()))) {
            return Optional.empty();
        }
        return Optional.of(withChain(chain, leaves));
    }

    /** Returns the next view with only these members of the chain, in the same order; a member that leaves gives up its vote. */
    private View withChain(final List<Replica> chain, final boolean leaves) {
        final String singletonOwner =
                chain.stream().anyMatch(member -> member.id().equals(view.singletonOwner()))
                        ? view.singletonOwner()
                        : chain.get(0).id();
        final List<Replica> removed = Stream.concat(
                        view.chain().stream(), votersOutsideChain().filter(this::suspected))
                .filter(member -> !chain.contains(member))
                .toList();
        final List<Replica> voters = leaves && view.voters().size() > minVoters()
                ? view.voters().stream()
                        .filter(voter -> !voter.id().equals(settings.self().id()))
                        .toList()
                : view.voters();
        return new View(view.number() + 1, view.fleet(), reduceVoters(voters, removed), chain, singletonOwner);
    }

    /**
     * Adds the members of the installed chain that promised the proposal and have caught up to a proposed view whose chain would be
     * shorter than the number of required copies. A member that the proposal removed because it was silent may only have been slow;
     * without it, the next loss of a disk could leave no member at all.
     */
    View withPromisingMembers(final View proposed, final Set<String> promisedIds) {
        if (proposed.chain().size() >= settings.minInSyncReplicas()) {
            return proposed;
        }
        final List<Replica> chain = view.chain().stream()
                .filter(member -> proposed.positionOf(member.id()) >= 0
                        || promisedIds.contains(member.id()) && caughtUpMembers.contains(member.id()))
                .toList();
        return chain.size() > proposed.chain().size() ? withChain(chain, false) : proposed;
    }

    /** Returns whether enough of these members have caught up to hold the required copies of all acknowledged writes. */
    private boolean hasEnoughCaughtUp(final List<Replica> members) {
        return members.stream()
                                .filter(member -> caughtUpMembers.contains(member.id()))
                                .count()
                        >= settings.minInSyncReplicas()
                || !settings.safeguards().isEnabled(Safeguard.HANDOVER);
    }

    /**
     * Returns the view with one more replica at the end of the chain, or empty if the replica can't get a vote. The replica keeps the vote
     * that it has, or takes over the vote of the lost identity at its address, or that of a dead voter. A new vote is added only while
     * every voter is in the chain and was alive recently: the quorum must not grow while a voter that is dead or has left still counts,
     * nor while a voter may have died just now.
     */
    private Optional<View> withJoiningReplica(final Replica joining) {
        final Optional<Replica> replaced = Stream.of(
                        view.voters().stream().filter(voter -> voter.id().equals(joining.id())),
                        votersOutsideChain().filter(voter -> voter.address().equals(joining.address())),
                        votersOutsideChain()
                                .filter(voter -> suspected(voter)
                                        && settings.safeguards().isEnabled(Safeguard.DEAD_VOTES)))
                .flatMap(s -> s)
                .findFirst();
        final List<Replica> voters = new ArrayList<>(view.voters());
        if (replaced.isPresent()) {
            voters.set(voters.indexOf(replaced.get()), joining);
        } else if (mayAddVoter(joining)) {
            voters.add(joining);
        } else {
            return Optional.empty();
        }
        final List<Replica> chain = new ArrayList<>(view.chain());
        chain.add(joining);
        return Optional.of(new View(view.number() + 1, view.fleet(), voters, chain, view.singletonOwner()));
    }

    private boolean mayAddVoter(final Replica joining) {
        final boolean allPresent = view.voters().stream()
                .allMatch(voter -> view.positionOf(voter.id()) >= 0
                        && silenceMicros.applyAsLong(voter.id()) <= settings.suspicionMicros() / 2
                        && !voter.address().equals(joining.address()));
        return view.voters().size() < settings.maxVoters()
                && (allPresent || !settings.safeguards().isEnabled(Safeguard.DEAD_VOTES));
    }

    /** Returns the view with the same chain and without the votes of dead voters, if fewer votes tolerate more losses. */
    private Optional<View> withoutDeadVotes() {
        final List<Replica> voters = reduceVoters(
                view.voters(), votersOutsideChain().filter(this::suspected).toList());
        return voters.size() == view.voters().size()
                ? Optional.empty()
                : Optional.of(new View(view.number() + 1, view.fleet(), voters, view.chain(), view.singletonOwner()));
    }

    /**
     * Returns the voters without those of the removed whose votes only enlarge the majority; the longest silent are dropped first. The
     * number of voters is reduced to the smallest odd number that is neither below the number of remaining voters nor below {@link
     * #minVoters}. One dead voter next to an even number of live ones doesn't enlarge the majority and may recover. So if one of three
     * voters is dead, all three keep their votes until a joining replica takes over the vote of the dead one.
     */
    private List<Replica> reduceVoters(final List<Replica> voters, final List<Replica> removed) {
        if (!settings.safeguards().isEnabled(Safeguard.DEAD_VOTES)) {
            return voters;
        }
        final long remaining =
                voters.stream().filter(voter -> !removed.contains(voter)).count();
        final long oddCount = remaining % 2 == 0 ? remaining + 1 : remaining;
        final long votersToKeep = Math.max(oddCount, minVoters());
        final Set<Replica> dropped = voters.stream()
                .filter(removed::contains)
                .sorted(Comparator.comparingLong((Replica voter) -> silenceMicros.applyAsLong(voter.id()))
                        .reversed())
                .limit(Math.max(0, voters.size() - votersToKeep))
                .collect(Collectors.toSet());
        return voters.stream().filter(voter -> !dropped.contains(voter)).toList();
    }

    /**
     * Returns the minimum number of voters: enough for a majority to survive as many losses as the required copies tolerate, and at least
     * three. Votes are never removed below it: a voter considered dead may only have been slow, and the next losses must leave a majority.
     */
    private int minVoters() {
        return Math.max(3, 2 * settings.minInSyncReplicas() - 1);
    }

    /** Returns the voters that are not in the chain. */
    private Stream<Replica> votersOutsideChain() {
        return view.voters().stream().filter(voter -> view.positionOf(voter.id()) < 0);
    }

    /**
     * Returns whether a member of the chain has this address. Messages are addressed by address, so a second member at the same address
     * would receive the messages for the first one.
     */
    private boolean addressInChain(final String address) {
        return view.chain().stream().anyMatch(member -> member.address().equals(address));
    }

    private boolean suspected(final Replica replica) {
        return silenceMicros.applyAsLong(replica.id()) > settings.suspicionMicros();
    }
}
