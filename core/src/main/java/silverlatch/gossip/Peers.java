package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.View;
import silverlatch.wire.Message;

/** Whom to ask and whom to tell, and the crew in short. */
final class Peers {
    private static final long SECOND = 1_000_000L;
    private final Membership crew;
    private final RandomGenerator luck;
    private Sums ring = new Sums();
    private List<Member> controllers = List.of();
    private long known = -1;
    private long gateways;
    private int turn;

    Peers(final Membership crew, final RandomGenerator luck) {
        this.crew = crew;
        this.luck = luck;
    }

    /** Whether this daemon is a controller. */
    boolean controller() {
        return !crew.me().gateway();
    }

    /** The other controllers, also those thought dead; not those that left. */
    List<Member> controllers() {
        refresh();
        return controllers;
    }

    /** Whether another controller takes frames at this address. */
    boolean controller(final String home) {
        return controllers().stream().anyMatch(m -> m.address().equals(home));
    }

    /** Digests over the crew. */
    Sums ring() {
        refresh();
        return ring;
    }

    /** So many of these, drawn. */
    <T> List<T> some(final List<T> all, final int count) {
        final List<T> list = new ArrayList<>(all);
        final List<T> few = new ArrayList<>();
        while (few.size() < count && !list.isEmpty()) {
            few.add(list.remove(luck.nextInt(list.size())));
        }
        return few;
    }

    /** So many of these, each in its turn. */
    List<Member> turn(final List<Member> all, final int count) {
        final List<Member> next = new ArrayList<>();
        for (int i = 0; i < Math.min(count, all.size()); i++) {
            next.add(all.get(turn++ % all.size()));
        }
        return next;
    }

    /** How often to ask a controller: less often where gateways are many. */
    long root(final Gossip.Times times) {
        refresh();
        return times.way() instanceof Way.Controllers h && !controller()
                ? Math.max(
                        times.root(),
                        Math.min(SECOND, gateways * SECOND / Math.max(1, (long) controllers.size() * h.asks())))
                : times.root();
    }

    /** Some to pass news on to, more in a large fleet: one from anywhere, the others from this region. */
    List<Member> spread() {
        final List<Member> live = crew.live();
        final int count = live.size() < 32 ? 3 : live.size() < 128 ? 5 : 7;
        final List<Member> few = some(near(live), count - 1);
        few.addAll(some(live.stream().filter(m -> !few.contains(m)).toList(), count - few.size()));
        return few;
    }

    /** Live controllers to ask: those of the chain, or all. */
    List<Member> roots(final View view, final boolean all) {
        final List<String> chain = view.chain().stream().map(b -> b.address()).toList();
        return crew.live().stream()
                .filter(m -> !m.gateway())
                .filter(m -> all || chain.isEmpty() || chain.contains(m.address()))
                .toList();
    }

    /** Those of this region, or all where there are none. */
    List<Member> near(final List<Member> all) {
        final List<Member> near =
                all.stream().filter(m -> m.region().equals(crew.me().region())).toList();
        return near.isEmpty() ? all : near;
    }

    /** What is known of the crew in these ranges. */
    List<Message.ReportVersion> marks(final long bits) {
        return crew.all().stream()
                .filter(m -> Sums.in(bits, m.id()))
                .map(Peers::mark)
                .toList();
    }

    /** Who is known better here than by these marks, which are all that another holds in these ranges. */
    List<Member> newer(final long bits, final List<Message.ReportVersion> marks) {
        final Map<String, Message.ReportVersion> map = new HashMap<>();
        marks.forEach(k -> map.put(k.id(), k));
        return crew.all().stream()
                .filter(m -> Sums.in(bits, m.id()))
                .filter(m -> Optional.ofNullable(map.get(m.id()))
                        .map(k -> after(mark(m), k))
                        .orElse(true))
                .toList();
    }

    /** Who is known worse here than by these marks. */
    List<String> lacks(final List<Message.ReportVersion> marks) {
        return marks.stream()
                .filter(k -> crew.get(k.id()).map(m -> after(k, mark(m))).orElse(true))
                .map(Message.ReportVersion::id)
                .toList();
    }

    private static boolean after(final Message.ReportVersion a, final Message.ReportVersion b) {
        return a.incarnation() != b.incarnation() ? a.incarnation() > b.incarnation() : a.sequence() > b.sequence();
    }

    private static Message.ReportVersion mark(final Member m) {
        return new Message.ReportVersion(m.id(), m.life(), m.rank());
    }

    private void refresh() {
        if (known != crew.version()) {
            known = crew.version();
            final List<Member> all = crew.all();
            controllers = all.stream()
                    .filter(m -> !m.gateway()
                            && !m.state().equals("left")
                            && !m.id().equals(crew.me().id()))
                    .toList();
            gateways = all.stream().filter(m -> m.gateway() && m.live()).count();
            ring = new Sums();
            all.forEach(m -> ring.add(mark(m)));
        }
    }
}
