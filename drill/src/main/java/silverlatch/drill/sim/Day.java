package silverlatch.drill.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import silverlatch.drill.fleet.Plan;

/** A day in the simulator: it opens, faults come one after another, it heals, and it is judged. */
public final class Day {
    private static final long SECOND = 1_000_000L;

    private Day() {
    }

    /** What came of a day. */
    public record Came(long seed, List<String> wrong, Map<String, Long> tally, List<String> story, long normal, long after) {
        /** Copies the lists. */
        public Came {
            wrong = List.copyOf(wrong);
            story = List.copyOf(story);
        }
    }

    /** Runs a day with the given faults, each so many microseconds long and overlapping the next one as the seed will. */
    public static Came run(final Plan plan, final long seed, final List<Fault> faults, final long rate, final Guards guards, final boolean loud) {
        final World w = new World(plan, seed, rate, guards, loud);
        w.open();
        final long begin = w.engine().now();
        w.engine().run(begin + 4 * SECOND);
        final long normal = w.watch().done(begin + SECOND, begin + 4 * SECOND) / 3;
        for (final Fault f : faults) {
            final long span = SECOND / 2 + w.engine().luck().nextLong(7 * SECOND);
            if (f.loss()) {
                w.settle();
            }
            f.hit(w, span);
            final long rest = w.engine().luck().nextInt(3) == 0 ? SECOND : span + 4 * SECOND;
            w.engine().run(w.engine().now() + rest);
        }
        w.engine().run(w.engine().now() + 40 * SECOND);
        w.harbors().forEach(Node::start);
        w.pursers().forEach(Node::start);
        w.mills().forEach(Mill::start);
        w.engine().run(w.engine().now() + 10 * SECOND);
        final long end = w.engine().now();
        w.engine().run(end + 3 * SECOND);
        final long after = w.watch().done(end, end + 3 * SECOND) / 3;
        w.hush();
        w.last();
        w.engine().run(w.engine().now() + 14 * SECOND);
        w.watch().finish();
        final List<String> wrong = new ArrayList<>(w.watch().wrong());
        if (normal == 0 || w.watch().tally().getOrDefault("runs", 0L) < 20) {
            wrong.add("IDLE nothing was exercised");
        }
        for (final long back : w.backs()) {
            final long then = w.watch().done(back + 12 * SECOND, back + 15 * SECOND) / 3;
            if (faults.size() == 1 && then * 4 < normal) {
                wrong.add("RETURN 12 s after a region came back " + then + " replies a second come where " + normal + " came before");
            }
        }
        if (after * 4 < normal && !faults.contains(Fault.REFOUNDING)) {
            wrong.add("DEAD after all was healed " + after + " replies a second come where " + normal + " came before");
        }
        if (!faults.contains(Fault.REFOUNDING) && w.watch().tally().getOrDefault("lastReads", 0L) == 0) {
            wrong.add("DEAD the table can't be read back after all was healed");
        }
        return new Came(seed, wrong, w.watch().tally(), w.story(), normal, after);
    }

    /** A day's faults drawn by a seed; some days end with one fault on top of another. */
    public static List<Fault> draw(final long seed) {
        final java.util.SplittableRandom luck = new java.util.SplittableRandom(seed * 7919);
        final List<Fault> pool = new ArrayList<>(List.of(Fault.values()));
        pool.remove(Fault.REFOUNDING);
        final List<Fault> list = new ArrayList<>();
        final int count = 3 + luck.nextInt(4);
        for (int i = 0; i < count; i++) {
            list.add(pool.get(luck.nextInt(pool.size())));
        }
        return list;
    }
}
