package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import silverlatch.simulation.worker.Faults;

/** What workers and consumers do: crashes, limping, broken streams, crowds, swings. */
final class Loads {
    private Loads() {}

    static void workerCrashed(final World w, final long span) {
        final Mill m = w.some(w.mills());
        w.tell("crash " + m.name());
        m.kill();
        w.later(span, m::start);
    }

    static void workerDark(final World w, final long span) {
        final Mill m = w.some(w.mills());
        w.tell("dark " + m.name());
        m.fault(Faults.DARK);
        final Runnable heal = w.net().island(Set.of(m.name()));
        w.later(span, () -> {
            heal.run();
            m.fault(Faults.NONE);
        });
    }

    static void workerLeaves(final World w, final long span) {
        final Mill m = w.some(w.mills());
        w.tell("leave " + m.name());
        m.leave();
        w.later(span + 4_000_000, m::kill);
        w.later(span + 6_000_000, m::start);
    }

    static void workersReplaced(final World w, final long span) {
        final String region = w.some(w.plan().regions()).region();
        w.tell("replace workers of " + region);
        long at = 0;
        for (final Mill m : w.mills()) {
            if (m.region().equals(region)) {
                w.later(at, m::leave);
                w.later(at + 1_500_000, m::kill);
                w.later(at + 2_500_000, m::start);
                at += 3_000_000;
            }
        }
    }

    static void workerBreaks(final World w, final long span) {
        final List<Faults> bad = new ArrayList<>(List.of(
                Faults.GAP,
                Faults.REPEAT,
                Faults.FOREIGN,
                Faults.NOSEAL,
                Faults.WRONGSEAL,
                Faults.DENY,
                Faults.SLOW,
                Faults.DROP));
        for (int round = 0; round < 2; round++) {
            w.later(round * span, () -> {
                final List<Mill> all = new ArrayList<>(w.mills());
                for (int i = 0; i < 4; i++) {
                    final Mill m = all.remove(w.engine().luck().nextInt(all.size()));
                    final Faults f = bad.remove(w.engine().luck().nextInt(bad.size()));
                    w.tell(f + " " + m.name());
                    m.fault(f);
                    w.later(span - 1, () -> m.fault(Faults.NONE));
                }
            });
        }
    }

    static void consumersMove(final World w, final long span) {
        w.tell("consumers move");
        w.roaming(true);
        w.later(span * 2, () -> w.roaming(false));
    }

    static void crowd(final World w, final long span) {
        final long rate = w.rate();
        final int lean = w.engine().luck().nextInt(3) - 1;
        w.tell("crowd, leaning " + lean);
        w.crowd(rate * 4, lean);
        w.later(Math.min(span, 6_000_000), () -> w.crowd(rate, 0));
    }

    static void regionCold(final World w, final long span) {
        final String region = w.some(w.plan().regions()).region();
        w.tell("lose the workers of " + region);
        final List<Mill> some =
                w.mills().stream().filter(m -> m.region().equals(region)).toList();
        some.forEach(Mill::kill);
        w.later(span, () -> {
            some.forEach(Mill::start);
            w.back(region);
        });
    }

    static void workersDeny(final World w, final long span) {
        w.tell("most workers deny");
        w.mills().stream().skip(w.mills().size() / 3).forEach(m -> m.fault(Faults.DENY));
        w.later(span + 20_000_000, () -> w.mills().forEach(m -> m.fault(Faults.NONE)));
    }

    static void workerLimps(final World w, final long span) {
        final Mill m = w.some(w.mills());
        final long rate = w.rate();
        w.tell("crowd, and " + m.name() + " limps");
        m.fault(Faults.SLOW);
        w.crowd(rate * 4, 0);
        w.later(Math.min(span, 5_000_000), () -> {
            w.crowd(rate, 0);
            m.fault(Faults.NONE);
        });
    }

    static void mixSwings(final World w, final long span) {
        final long rate = w.rate();
        w.tell("the mix swings");
        for (int i = 0; i < 6; i++) {
            final int lean = i % 2 == 0 ? 1 : -1;
            w.later(i * 1_000_000L, () -> w.crowd(rate * 4, lean));
        }
        w.later(6_000_000, () -> w.crowd(rate, 0));
    }
}
