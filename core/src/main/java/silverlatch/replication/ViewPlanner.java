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
 * Plans the view that should follow the installed one, by what one replica has heard. It holds no state: {@link ViewProposer} makes one
 * for each decision, and proposes what it plans.
 */
final class ViewPlanner {
    private final ReplicaSettings settings;
    private final View view;
    private final ToLongFunction<String> silenceMicros;
    private final Set<String> caughtUpMembers;

    /**
     * A planner for the successor of a view.
     *
     * @param silenceMicros for how long a voter or a replica that asks to join was silent, by identity
     * @param caughtUpMembers  the identities of the members that hold all that the chain holds
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

    /** The voters that are heard. */
    List<Replica> reachableVoters() {
        return view.voters().stream().filter(voter -> !suspected(voter)).toList();
    }

    /** The members of the chain that are not heard. */
    List<Replica> suspected() {
        return view.chain().stream().filter(this::suspected).toList();
    }

    /**
     * The next view, if there should be one: without the suspected members, else with a replica that joins, else without the votes of
     * dead voters. A repaired replica joins first where the chain without the suspected would be shorter than the required copies.
     */
    Optional<View> next(final boolean leaving, final Collection<ReplicationMessage.JoinRequest> joinRequests) {
        final Optional<View> shortened = without(leaving);
        final Optional<View> joined = withFirstJoinRequest(joinRequests);
        if (shortened.map(v -> v.chain().size() < settings.minInSyncReplicas()).orElse(false) && joined.isPresent()) {
            return joined;
        }
        return shortened.or(() -> joined).or(this::withoutDeadVotes);
    }

    /** The view in which this replica alone takes over, where all members of a chain that can acknowledge nothing are silent. */
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

    /** Whether the next chain begins with the whole old one in its order, so that no member answers for the old view alone. */
    static boolean isExtension(final View old, final View next) {
        return next.chain().size() >= old.chain().size()
                && next.chain().subList(0, old.chain().size()).equals(old.chain());
    }

    /**
     * The chain without the suspected, and without this member if it leaves and enough of the others have caught up. Where one is
     * suspected, others that were silent for most of that time go with it. At least one that has caught up stays, or what was
     * acknowledged could be lost with those that go. A leaving member gives up its vote at once where three or more remain: the others
     * hear it until its process stops, and would let another replica join beside it, or another one leave.
     */
    private Optional<View> without(final boolean leaving) {
        final boolean anySuspected = view.chain().stream().anyMatch(this::suspected);
        final long silenceLimit = Math.max(
                settings.suspicionMicros() / 2, settings.suspicionMicros() - 2 * settings.leaseRequestMicros());
        final List<Replica> heard = view.chain().stream()
                .filter(member -> !anySuspected || silenceMicros.applyAsLong(member.id()) <= silenceLimit)
                .toList();
        final List<Replica> others = heard.stream()
                .filter(member -> !member.id().equals(settings.self().id()))
                .toList();
        final boolean leaves = leaving && hasEnoughCaughtUp(others);
        final List<Replica> chain = leaves ? others : heard;
        if (chain.size() == view.chain().size()
                || chain.stream().noneMatch(member -> caughtUpMembers.contains(member.id()))) {
            return Optional.empty();
        }
        return Optional.of(withChain(chain, leaves));
    }

    /** The next view with only these members of the chain, in their order; a member that leaves gives up its vote. */
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
        return new View(view.number() + 1, view.fleet(), without(voters, removed), chain, singletonOwner);
    }

    /**
     * A proposed view with the members of the present chain that promised it and have caught up, where its own chain would be shorter
     * than the required copies. A member that was not heard for a while, and so was left out, may have been slow only; without it the
     * next loss of a disk could leave no member at all.
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

    /** Whether enough of these members have caught up to be the required copies of all that was acknowledged. */
    private boolean hasEnoughCaughtUp(final List<Replica> members) {
        return members.stream()
                                .filter(member -> caughtUpMembers.contains(member.id()))
                                .count()
                        >= settings.minInSyncReplicas()
                || !settings.safeguards().isEnabled(Safeguard.HANDOVER);
    }

    /**
     * The view with one more replica at the end of the chain. It takes its own vote, that of the lost identity at its address, or that
     * of a dead voter. A new vote is added only while every voter is in the chain and heard: the quorum must not grow while a dead voter
     * counts, nor one that has left, nor while it isn't known whether one died just now.
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

    /** The same chain without the votes of dead voters, where fewer votes tolerate more losses. */
    private Optional<View> withoutDeadVotes() {
        final List<Replica> voters = without(
                view.voters(), votersOutsideChain().filter(this::suspected).toList());
        return voters.size() == view.voters().size()
                ? Optional.empty()
                : Optional.of(new View(view.number() + 1, view.fleet(), voters, view.chain(), view.singletonOwner()));
    }

    /**
     * The voters without as many of the removed as makes the majority smaller: down to the smallest odd number that is not below those
     * that remain, nor below the fewest that tolerate the losses. One dead vote beside an even number of others costs nothing, and may
     * come back; so of three voters with one dead all three stay, until a replica that joins takes the dead one's vote.
     */
    private List<Replica> without(final List<Replica> voters, final List<Replica> removed) {
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
     * The fewest voters of which as many may be lost as there are copies to spare. Votes are never taken below it: a
     * voter may have been slow only, and the next losses must leave a majority.
     */
    private int minVoters() {
        return Math.max(3, 2 * settings.minInSyncReplicas() - 1);
    }

    /** The voters that are out of the chain. */
    private Stream<Replica> votersOutsideChain() {
        return view.voters().stream().filter(voter -> view.positionOf(voter.id()) < 0);
    }

    /** Whether a member listens there: messages go by address, so a second member there would get those of the first. */
    private boolean addressInChain(final String address) {
        return view.chain().stream().anyMatch(member -> member.address().equals(address));
    }

    private boolean suspected(final Replica replica) {
        return silenceMicros.applyAsLong(replica.id()) > settings.suspicionMicros();
    }
}
