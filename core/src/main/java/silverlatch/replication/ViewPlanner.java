package silverlatch.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import silverlatch.wire.Msg;

/** Which view should come after the one that stands, as one machine sees it. */
final class ViewPlanner {
    private final ChainReplica.Setup setup;
    private final View view;
    private final ToLongFunction<String> silent;
    private final Set<String> level;

    /** How long each voter was silent, in microseconds, and which members of the chain hold all that it has. */
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

    /** The next view, if there should be one: without the silent, else with one that came. */
    Optional<View> next(final boolean quit, final Collection<Msg.JoinRequest> joins) {
        return without(quit)
                .or(() -> joins.stream()
                        .filter(j -> j.view() == view.number() && view.place(j.me().id()) < 0)
                        .map(j -> with(j.me()))
                        .flatMap(Optional::stream)
                        .findFirst())
                .or(this::fewer);
    }

    /** Whether all of a view's chain stand in the next one as they stood, so that none of them answers for the old one alone. */
    static boolean grown(final View old, final View next) {
        return next.chain().size() >= old.chain().size()
                && next.chain().subList(0, old.chain().size()).equals(old.chain());
    }

    /**
     * The chain without the silent. Where one is missed, others that were silent for most of that time go with it. One
     * that has everything stays, or what was acknowledged could be lost with those that go.
     */
    private Optional<View> without(final boolean quit) {
        final boolean late = view.chain().stream().anyMatch(this::missed);
        final long bound = Math.max(setup.suspect() / 2, setup.suspect() - 2 * setup.ask());
        final List<Replica> heard = view.chain().stream()
                .filter(b -> !late || silent.applyAsLong(b.id()) <= bound)
                .toList();
        final List<Replica> rest = quit && heard.size() > setup.copies()
                ? heard.stream().filter(b -> !b.id().equals(setup.me().id())).toList()
                : heard;
        final List<Replica> chain = rest.stream().anyMatch(b -> level.contains(b.id())) ? rest : heard;
        if (chain.size() == view.chain().size() || chain.stream().noneMatch(b -> level.contains(b.id()))) {
            return Optional.empty();
        }
        final String holder = chain.stream().anyMatch(b -> b.id().equals(view.holder()))
                ? view.holder()
                : chain.get(0).id();
        return Optional.of(new View(view.number() + 1, view.fleet(), view.voters(), chain, holder));
    }

    /** One more at the end of the chain: with its own vote, that of one that is lost, or a new one while there are few. */
    private Optional<View> with(final Replica who) {
        final Optional<Replica> old = Stream.of(
                        view.voters().stream().filter(v -> v.id().equals(who.id())),
                        out().filter(v -> v.address().equals(who.address())),
                        out().filter(v -> silent.applyAsLong(v.id()) > setup.swap()))
                .flatMap(s -> s)
                .findFirst();
        final List<Replica> voters = new ArrayList<>(view.voters());
        if (old.isPresent()) {
            voters.set(voters.indexOf(old.get()), who);
        } else if (voters.size() < setup.most()) {
            voters.add(who);
        } else {
            return Optional.empty();
        }
        final List<Replica> chain = new ArrayList<>(view.chain());
        chain.add(who);
        return Optional.of(new View(view.number() + 1, view.fleet(), voters, chain, view.holder()));
    }

    /** An even number of voters bears no more deaths than one fewer: one that stays silent loses its vote. */
    private Optional<View> fewer() {
        return out().filter(v -> view.voters().size() % 2 == 0
                        && view.voters().size() > 2
                        && silent.applyAsLong(v.id()) > 2 * setup.swap())
                .findFirst()
                .map(v -> new View(
                        view.number() + 1,
                        view.fleet(),
                        view.voters().stream().filter(x -> !x.equals(v)).toList(),
                        view.chain(),
                        view.holder()));
    }

    private Stream<Replica> out() {
        return view.voters().stream().filter(v -> view.place(v.id()) < 0);
    }

    private boolean missed(final Replica b) {
        return silent.applyAsLong(b.id()) > setup.suspect();
    }
}
