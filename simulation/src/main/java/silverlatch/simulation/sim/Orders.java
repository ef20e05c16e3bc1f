package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;

/** What operators do to each other and to tickets under way. */
final class Orders {
    private Orders() {}

    static void zoneDrained(final World w, final long span) {
        final String zone = w.some(w.plan().regions()).zone();
        w.office().drain(zone, true);
        w.later(span + 6_000_000, () -> w.office().drain(zone, false));
    }

    static void operatorsRace(final World w, final long span) {
        final String zone = w.some(w.plan().regions()).zone();
        for (int i = 0; i < 4; i++) {
            w.later(i * 700_000L, () -> w.office().race(zone));
        }
        w.later(span + 10_000_000, () -> w.office().drain(zone, false));
    }

    static void tenantsMove(final World w, final long span) {
        final List<World.Person> all = new ArrayList<>(w.people());
        final World.Person one = all.remove(w.engine().luck().nextInt(all.size()));
        final World.Person two = w.some(all);
        final String region = w.some(w.plan().regions()).region();
        w.roaming(true);
        w.office().move(one, List.of(region));
        w.later(500_000, () -> w.office().drop(two));
        w.later(span + 6_000_000, () -> {
            w.office().move(one, one.homes());
            w.office().move(two, two.homes());
            w.roaming(false);
        });
    }

    /** Some three hundred configurations, with whatever else goes on. */
    static void configurationsRace(final World w, final long span) {
        w.tell("operators race on configurations");
        w.office().configurations().run(span + 20_000_000);
    }

    static void tableGrows(final World w, final long span) {
        w.office().grow(3_000);
    }
}
