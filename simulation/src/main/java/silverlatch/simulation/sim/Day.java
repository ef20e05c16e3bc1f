package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/** A day in the simulator: it opens, faults come one after another, it heals, it is judged, and some end with one last fault. */
public final class Day {
    private static final long SECOND = 1_000_000L;
    private static final long RETURN = 12 * SECOND;
    private static final long WINDOW = 3 * SECOND;

    private Day() {}

    /** What a day is made of. */
    public record Script(long seed, List<Fault> faults, long rate, boolean lying) {
        /** Copies the faults. */
        public Script {
            faults = List.copyOf(faults);
        }

        /** A day of the given faults. */
        public static Script of(final long seed, final List<Fault> faults, final long rate) {
            return new Script(seed, faults, rate, false);
        }

        /** A day whose faults are drawn by the seed. */
        public static Script drawn(final long seed, final long rate) {
            return new Script(seed, draw(seed), rate, false);
        }
    }

    /** What came of a day. */
    public record Came(Script script, List<String> wrong, Map<String, Long> tally, List<String> story) {
        /** Copies the lists. */
        public Came {
            wrong = List.copyOf(wrong);
            story = List.copyOf(story);
        }
    }

    /** Runs a day; its faults last as long and overlap as the seed will. */
    public static Came run(final Plan plan, final Script script, final Safeguards guards, final boolean loud) {
        return run(plan, script, guards, loud, WorldListener.NONE);
    }

    /** Runs a day, and tells a listener of all that its processes do. */
    static Came run(
            final Plan plan,
            final Script script,
            final Safeguards guards,
            final boolean loud,
            final WorldListener listener) {
        final World w = new World(plan, script.seed(), script.rate(), guards, loud, listener);
        w.controllers().forEach(n -> n.disk().ifPresent(d -> d.lies(script.lying())));
        w.open();
        final long begin = w.engine().now();
        w.engine().run(begin + 5 * SECOND);
        final Usual usual = new Usual(w, begin + SECOND, begin + 5 * SECOND);
        for (final Fault f : script.faults()) {
            hit(w, f);
            final long rest = switch (w.engine().luck().nextInt(4)) {
                case 0 -> SECOND;
                case 1 -> 22 * SECOND;
                default -> 8 * SECOND;
            };
            usual.pass(rest);
        }
        usual.pass(35 * SECOND);
        w.controllers().forEach(SimulatedNode::start);
        w.gateways().forEach(SimulatedNode::start);
        w.mills().forEach(Mill::start);
        usual.pass(10 * SECOND);
        final long end = w.engine().now();
        w.engine().run(end + WINDOW);
        w.office().last();
        final boolean founded = !script.faults().contains(Fault.REFOUNDING);
        usual.dead(end, founded);
        if (script.seed() % 2 == 0 && founded) {
            final List<Fault> lasts = List.of(
                    Fault.PURSERS_KILLED,
                    Fault.ALL_KILLED,
                    Fault.REGION_LOST,
                    Fault.HARBOR_KILLED,
                    Fault.PURSER_FROZEN,
                    Fault.KILLED_AT_STEPS);
            hit(w, lasts.get((int) (script.seed() / 2 % lasts.size())));
            w.watch().count("lastFaults");
            w.engine().run(w.engine().now() + 2 * SECOND);
        }
        w.hush();
        w.engine().run(w.engine().now() + 15 * SECOND);
        w.watch().probe(Mark.IDLE);
        if (usual.all() == 0 || w.watch().tally().getOrDefault("runs", 0L) < 20) {
            w.watch().fault(Mark.IDLE, "nothing was exercised");
        }
        w.controllers().forEach(n -> n.disk().ifPresent(d -> w.watch().most("torn", d.torn())));
        return new Came(script, w.watch().wrong(), w.watch().tally(), w.story());
    }

    private static void hit(final World w, final Fault f) {
        final long span = SECOND / 2 + w.engine().luck().nextLong(7 * SECOND);
        if (f.loss()) {
            w.settle();
        }
        w.stir();
        f.hit(w, span);
    }

    /** A day's faults drawn by a seed; some come on top of each other. */
    public static List<Fault> draw(final long seed) {
        final SplittableRandom luck = new SplittableRandom(seed * 7919);
        final List<Fault> pool = new ArrayList<>(List.of(Fault.values()));
        pool.remove(Fault.REFOUNDING);
        final List<Fault> list = new ArrayList<>();
        final int count = 3 + luck.nextInt(4);
        for (int i = 0; i < count; i++) {
            list.add(pool.get(luck.nextInt(pool.size())));
        }
        return list;
    }

    /** What was usual before the faults, and every return held against it. */
    private static final class Usual {
        private final World w;
        private final long all;
        private final Map<String, Long> parts = new java.util.HashMap<>();
        private long judged;

        Usual(final World w, final long from, final long to) {
            this.w = w;
            this.all = w.watch().done(from, to) * WINDOW / (to - from);
            w.people().forEach(p -> parts.put(p.name(), w.watch().done(p.name(), from, to) * WINDOW / (to - from)));
        }

        long all() {
            return all;
        }

        /** Lets time go by; 12 s after what came back, or after what was done or healed on top of it, service is judged. */
        void pass(final long span) {
            final long end = w.engine().now() + span;
            while (w.engine().now() < end) {
                w.engine().run(Math.min(end, w.engine().now() + SECOND));
                final long now = w.engine().now();
                if (w.calm() && now - w.stirred() >= RETURN + WINDOW) {
                    w.backs().stream().filter(b -> b.at() > judged).toList().forEach(b -> {
                        judged = Math.max(judged, b.at());
                        judge(b, now);
                    });
                }
            }
        }

        private void judge(final World.Back b, final long now) {
            w.watch().probe(Mark.RETURN);
            final long done = w.watch().done(now - WINDOW, now);
            if (done * 4 < all) {
                w.watch()
                        .fault(
                                Mark.RETURN,
                                "12 s after a return " + done + " replies come where " + all + " came before");
            }
            w.watch().most("returnShortPerMille", Math.max(0, 1000 - 1000 * done / Math.max(1, all)));
            parts.forEach((tenant, usual) -> {
                final long part = w.watch().done(tenant, now - WINDOW, now);
                if (part * 4 < usual && usual >= 12) {
                    w.watch()
                            .fault(
                                    Mark.RETURN,
                                    "12 s after a return of " + (b.region().isEmpty() ? "all" : b.region()) + " "
                                            + tenant + " has " + part + " replies where it had " + usual + " before");
                }
            });
        }

        void dead(final long from, final boolean founded) {
            w.watch().probe(Mark.DEAD);
            final long after = w.watch().done(from, from + WINDOW);
            if (after * 4 < all && founded) {
                w.watch()
                        .fault(
                                Mark.DEAD,
                                "after all was healed " + after + " replies come where " + all + " came before");
            }
            if (founded && w.watch().tally().getOrDefault("lastReads", 0L) == 0) {
                w.watch().fault(Mark.DEAD, "the table can't be read back after all was healed");
            }
            if (founded && !w.office().kept()) {
                w.watch().fault(Mark.DEAD, "the table can't be changed after all was healed");
            }
        }
    }
}
