package silverlatch.drill.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import silverlatch.drill.fleet.Plan;

/** What happens to daemons and their disks, alone, in a region, or all at once. */
final class Blows {
    private Blows() {
    }

    static void purserKilled(final World w, final long span) {
        final Node n = w.some(w.pursers());
        w.tell("kill " + n.name());
        n.kill();
        w.later(span, n::start);
    }

    static void pursersKilled(final World w, final long span) {
        final List<Node> some = half(w, w.pursers());
        w.tell("kill " + some.stream().map(Node::name).toList());
        some.forEach(Node::kill);
        some.forEach(n -> w.later(span / 2 + w.engine().luck().nextLong(span), n::start));
    }

    static void purserFrozen(final World w, final long span) {
        final Node n = w.some(w.pursers());
        w.tell("freeze " + n.name());
        n.freeze(true);
        w.later(span, () -> n.freeze(false));
    }

    static void purserStopped(final World w, final long span) {
        final Node n = w.some(w.pursers());
        w.tell("stop " + n.name());
        n.stop();
        w.later(span + 5_000_000, n::start);
    }

    static void harborKilled(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("kill " + n.name());
        n.kill();
        w.later(span, n::start);
    }

    static void harborStopped(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("stop " + n.name());
        n.stop();
        w.later(span + 5_000_000, n::start);
    }

    static void allStopped(final World w, final long span) {
        w.tell("stop every daemon");
        final List<Node> all = new ArrayList<>(w.harbors());
        all.addAll(w.pursers());
        long at = 0;
        for (final Node n : all) {
            w.later(at, n::stop);
            w.later(at + 20_000_000, n::start);
            at += 1_000_000;
        }
        w.later(at + 20_000_000, () -> w.back(""));
    }

    static void harborWiped(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("wipe " + n.name());
        n.kill();
        n.disk().ifPresent(Disk::wipe);
        w.later(span, n::start);
    }

    static void harborFrozen(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("freeze " + n.name());
        n.freeze(true);
        w.later(span, () -> n.freeze(false));
    }

    static void diskStalled(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("stall " + n.name());
        n.disk().ifPresent(d -> d.stall(true));
        w.later(span, () -> n.disk().ifPresent(d -> d.stall(false)));
    }

    static void diskFull(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("full " + n.name());
        n.disk().ifPresent(d -> d.full(true));
        w.later(span, () -> {
            n.kill();
            n.disk().ifPresent(d -> d.full(false));
            n.start();
        });
    }

    static void diskLimps(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("limp " + n.name());
        n.disk().ifPresent(d -> d.limp(60));
        w.later(span, () -> n.disk().ifPresent(d -> d.limp(1)));
    }

    static void harborSwapped(final World w, final long span) {
        final Node n = w.some(w.harbors());
        w.tell("swap " + n.name() + " for " + w.swap(n).name());
    }

    static void harborsSwapped(final World w, final long span) {
        swap(w, new ArrayList<>(w.harbors()));
    }

    static void regionLost(final World w, final long span) {
        final Plan.Region r = w.some(w.plan().regions());
        w.tell("lose " + r.region());
        lose(w, r.region());
        w.later(span, () -> back(w, r.region()));
    }

    static void allKilled(final World w, final long span) {
        w.tell("kill every daemon");
        final List<Node> all = new ArrayList<>(w.pursers());
        all.addAll(w.harbors());
        all.forEach(Node::kill);
        all.forEach(n -> w.later(200_000 + w.engine().luck().nextLong(span), n::start));
        w.later(200_000 + span, () -> w.back(""));
    }

    static void refounding(final World w, final long span) {
        final List<Node> two = w.harbors().subList(1, w.harbors().size());
        final Node third = w.harbors().getFirst();
        w.tell("wipe " + two.stream().map(Node::name).toList() + " with " + third.name() + " cut off");
        final Runnable heal = w.net().island(Set.of(third.name()));
        two.forEach(n -> {
            n.kill();
            n.disk().ifPresent(Disk::wipe);
            n.start();
        });
        w.later(span, heal);
    }

    static void lose(final World w, final String region) {
        w.pursers().stream().filter(n -> n.region().equals(region)).forEach(Node::kill);
        w.harbors().stream().filter(n -> n.region().equals(region)).forEach(Node::kill);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::kill);
    }

    static void back(final World w, final String region) {
        w.back(region);
        w.tell("back " + region);
        w.pursers().stream().filter(n -> n.region().equals(region)).forEach(Node::start);
        w.harbors().stream().filter(n -> n.region().equals(region)).forEach(Node::start);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::start);
    }

    static void swap(final World w, final List<Node> left) {
        w.losing(left.isEmpty() ? 0 : 60_000_000);
        if (left.isEmpty()) {
            return;
        }
        if (w.settled()) {
            final Node n = left.removeFirst();
            w.tell("swap " + n.name() + " for " + w.swap(n).name());
        }
        w.later(3_000_000, () -> swap(w, left));
    }

    static List<Node> half(final World w, final List<Node> all) {
        final List<Node> some = new ArrayList<>();
        for (final Node n : all) {
            if (w.engine().luck().nextBoolean()) {
                some.add(n);
            }
        }
        return some;
    }
}
