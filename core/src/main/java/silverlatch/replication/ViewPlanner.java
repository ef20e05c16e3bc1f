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
import silverlatch.wire.Message;

/** Which view should come after the one that stands, as one machine sees it. */
final class ViewPlanner {
    private final ChainReplica.Setup setup;
    private final View view;
    private final ToLongFunction<String> silent;
    private final Set<String> level;

    /** How long each voter or newcomer was silent, in microseconds, and which members of the chain hold all that it has. */
    ViewPlanner(
            final ChainReplica.Setup setup,
            final View view,
            final ToLongFunction<String> silent,
            final Set<String> level) {
        this.setup = setup;
        this.view = view;
        this.silent = silent;
        this.level = level;
    }

    /** The voters that are heard. */
    List<Replica> able() {
        return view.voters().stream().filter(b -> !missed(b)).toList();
    }

    /** The members of the chain that are not heard. */
    List<Replica> missed() {
        return view.chain().stream().filter(this::missed).toList();
    }

    /**
     * The next view, if there should be one: without the lost, else with a newcomer, else without dead votes. A repaired
     * newcomer goes first where the chain without the lost would be shorter than the copies.
     */
    Optional<View> next(final boolean leaving, final Collection<Message.JoinRequest> joins) {
        final Optional<View> shortened = without(leaving);
        final Optional<View> joined = withNewcomer(joins);
        if (shortened.map(v -> v.chain().size() < setup.copies()).orElse(false) && joined.isPresent()) {
            return joined;
        }
        return shortened.or(() -> joined).or(this::withoutDeadVotes);
    }

    private Optional<View> withNewcomer(final Collection<Message.JoinRequest> joins) {
        return joins.stream()
                .filter(j -> j.view() == view.number() && view.place(j.sender().id()) < 0)
                .filter(j -> !missed(j.sender()))
                .filter(j -> !addressInChain(j.sender().address()))
                .map(j -> with(j.sender()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Whether all of a view's chain stand in the next one as they stood, so that none of them answers for the old one alone. */
    static boolean grown(final View old, final View next) {
        return next.chain().size() >= old.chain().size()
                && next.chain().subList(0, old.chain().size()).equals(old.chain());
    }

    /**
     * The chain without the silent, and without this member if it leaves and enough of the others hold everything.
     * Where one is missed, others that were silent for most of that time go with it. One that has everything stays, or
     * what was acknowledged could be lost with those that go. A leaving one gives up its vote at once where three or
     * more remain: the others hear it until it ends, and would let a newcomer in beside it or another one leave.
     */
    private Optional<View> without(final boolean leaving) {
        final boolean late = view.chain().stream().anyMatch(this::missed);
        final long bound = Math.max(setup.suspect() / 2, setup.suspect() - 2 * setup.ask());
        final List<Replica> heard = view.chain().stream()
                .filter(b -> !late || silent.applyAsLong(b.id()) <= bound)
                .toList();
        final List<Replica> others =
                heard.stream().filter(b -> !b.id().equals(setup.me().id())).toList();
        final boolean leaves = leaving && heldByEnough(others);
        final List<Replica> chain = leaves ? others : heard;
        if (chain.size() == view.chain().size() || chain.stream().noneMatch(b -> level.contains(b.id()))) {
            return Optional.empty();
        }
        return Optional.of(shortened(chain, leaves));
    }

    /** The next view with only these members of the chain, in their order; a member that leaves gives up its vote. */
    private View shortened(final List<Replica> chain, final boolean leaves) {
        final String holder = chain.stream().anyMatch(b -> b.id().equals(view.holder()))
                ? view.holder()
                : chain.get(0).id();
        final List<Replica> gone = Stream.concat(view.chain().stream(), out().filter(this::missed))
                .filter(b -> !chain.contains(b))
                .toList();
        final List<Replica> voters = leaves && view.voters().size() > fewestVoters()
                ? view.voters().stream()
                        .filter(v -> !v.id().equals(setup.me().id()))
                        .toList()
                : view.voters();
        return new View(view.number() + 1, view.fleet(), without(voters, gone), chain, holder);
    }

    /**
     * A proposed view with the members of the present chain that promised it and hold everything, where its own chain
     * would be shorter than the copies that an acknowledgement needs. A member that was not heard for a while, and so
     * was left out, may have been slow only; without it the next loss of a disk could leave no member at all.
     */
    View withPromised(final View proposed, final Set<String> promised) {
        if (proposed.chain().size() >= setup.copies()) {
            return proposed;
        }
        final List<Replica> kept = view.chain().stream()
                .filter(b -> proposed.place(b.id()) >= 0 || promised.contains(b.id()) && level.contains(b.id()))
                .toList();
        return kept.size() > proposed.chain().size() ? shortened(kept, false) : proposed;
    }

    /** Whether these members would still be enough copies of all that was acknowledged. */
    private boolean heldByEnough(final List<Replica> members) {
        return members.stream().filter(b -> level.contains(b.id())).count() >= setup.copies()
                || !setup.guards().isEnabled(Safeguard.HANDOVER);
    }

    /**
     * One more at the end of the chain. It takes its own vote, that of the lost identity at its address, or that of a
     * voter that is dead. A new vote is made only while every voter is in the chain and heard: it must not widen the
     * quorum while a dead voter counts, nor one that has left, nor while it isn't known whether one died just now.
     */
    private Optional<View> with(final Replica newcomer) {
        final Optional<Replica> replaced = Stream.of(
                        view.voters().stream().filter(v -> v.id().equals(newcomer.id())),
                        out().filter(v -> v.address().equals(newcomer.address())),
                        out().filter(v -> missed(v) && setup.guards().isEnabled(Safeguard.DEAD_VOTES)))
                .flatMap(s -> s)
                .findFirst();
        final List<Replica> voters = new ArrayList<>(view.voters());
        if (replaced.isPresent()) {
            voters.set(voters.indexOf(replaced.get()), newcomer);
        } else if (mayWiden(newcomer)) {
            voters.add(newcomer);
        } else {
            return Optional.empty();
        }
        final List<Replica> chain = new ArrayList<>(view.chain());
        chain.add(newcomer);
        return Optional.of(new View(view.number() + 1, view.fleet(), voters, chain, view.holder()));
    }

    private boolean mayWiden(final Replica newcomer) {
        final boolean sound = view.voters().stream()
                .allMatch(v -> view.place(v.id()) >= 0
                        && silent.applyAsLong(v.id()) <= setup.suspect() / 2
                        && !v.address().equals(newcomer.address()));
        return view.voters().size() < setup.most() && (sound || !setup.guards().isEnabled(Safeguard.DEAD_VOTES));
    }

    /** The same chain without the votes of dead machines, where fewer votes bear more losses. */
    private Optional<View> withoutDeadVotes() {
        final List<Replica> voters =
                without(view.voters(), out().filter(this::missed).toList());
        return voters.size() == view.voters().size()
                ? Optional.empty()
                : Optional.of(new View(view.number() + 1, view.fleet(), voters, view.chain(), view.holder()));
    }

    /**
     * The voters without as many of the gone as makes the majority smaller: down to the smallest odd number that is not
     * below those that remain, nor below the fewest that bear the losses. One dead vote beside an even number of others costs nothing, and may come back; so of
     * three voters with one dead all three stay, until a newcomer takes the dead one's vote.
     */
    private List<Replica> without(final List<Replica> voters, final List<Replica> gone) {
        if (!setup.guards().isEnabled(Safeguard.DEAD_VOTES)) {
            return voters;
        }
        final long remaining = voters.stream().filter(v -> !gone.contains(v)).count();
        final long odd = remaining % 2 == 0 ? remaining + 1 : remaining;
        final long enough = Math.max(odd, fewestVoters());
        final Set<Replica> dropped = voters.stream()
                .filter(gone::contains)
                .sorted(Comparator.comparingLong((Replica v) -> silent.applyAsLong(v.id()))
                        .reversed())
                .limit(Math.max(0, voters.size() - enough))
                .collect(Collectors.toSet());
        return voters.stream().filter(v -> !dropped.contains(v)).toList();
    }

    /**
     * The fewest voters of which as many may be lost as there are copies to spare. Votes are never taken below it: a
     * voter may have been slow only, and the next losses must leave a majority.
     */
    private int fewestVoters() {
        return Math.max(3, 2 * setup.copies() - 1);
    }

    /** The voters that are out of the chain. */
    private Stream<Replica> out() {
        return view.voters().stream().filter(v -> view.place(v.id()) < 0);
    }

    /** Whether a member listens there: messages go by address, so a second one there would take what is the first one's. */
    private boolean addressInChain(final String address) {
        return view.chain().stream().anyMatch(member -> member.address().equals(address));
    }

    private boolean missed(final Replica b) {
        return silent.applyAsLong(b.id()) > setup.suspect();
    }
}
