package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What one random walk does and when, drawn from its seed: a few kinds of trouble at a few steps (most walks have only
 * some of the kinds), and operations at others.
 *
 * @param steps    how many steps the walk has
 * @param troubles the steps at which something goes wrong or is mended
 * @param work     the steps at which an operation begins
 * @param kinds    the kinds of trouble this walk has
 */
record WalkPlan(int steps, Set<Integer> troubles, Set<Integer> work, List<Trouble> kinds) {
    /** The kinds of trouble of a walk. */
    enum Trouble {
        /** A channel or a disk falls behind everything else, the clock too. */
        DELAY,
        /** Whatever fell behind is at work again. */
        RELEASE,
        /** A message is lost. */
        DROP,
        /** A message is duplicated. */
        DUPLICATE,
        /** A later message overtakes an earlier one. */
        REORDER,
        /** A process ends, with or without its unsynced writes. */
        CRASH,
        /** A process that has unsynced writes ends without them, and may start again at once. */
        CRASH_UNSYNCED,
        /** All processes end at once. */
        CRASH_ALL,
        /** A disk is lost. */
        LOSE_DISK,
        /** A process freezes. */
        FREEZE,
        /** A machine is cut off, in one direction or both. */
        ISOLATE,
        /** Two machines don't hear each other, though others hear both. */
        CUT_LINK,
        /** Some time passes, whatever is in flight. */
        JUMP
    }

    /** What makes several machines propose different views at once, and forget. */
    private static final Set<Trouble> ELECTION =
            EnumSet.of(Trouble.CUT_LINK, Trouble.CRASH_UNSYNCED, Trouble.DELAY, Trouble.JUMP, Trouble.RELEASE);

    private static final int ELECTION_WALKS = 4;
    private static final int MOST_TROUBLES = 14;
    private static final int MOST_OPERATIONS = 16;
    private static final int FEWEST_OPERATIONS = 4;

    /** Copies the list. */
    WalkPlan {
        kinds = List.copyOf(kinds);
    }

    /** Draws a plan of so many steps. */
    static WalkPlan draw(final Random random, final int steps) {
        final Set<Trouble> kinds = random.nextInt(ELECTION_WALKS) == 0 ? ELECTION : some(random);
        final Set<Integer> troubles = places(random, steps, 1 + random.nextInt(MOST_TROUBLES));
        final Set<Integer> work =
                places(random, steps, FEWEST_OPERATIONS + random.nextInt(MOST_OPERATIONS - FEWEST_OPERATIONS));
        return new WalkPlan(steps, troubles, work, new ArrayList<>(kinds));
    }

    private static Set<Trouble> some(final Random random) {
        final Set<Trouble> kinds = EnumSet.of(Trouble.RELEASE);
        for (final Trouble kind : Trouble.values()) {
            if (random.nextInt(2) == 0) {
                kinds.add(kind);
            }
        }
        return kinds;
    }

    private static Set<Integer> places(final Random random, final int steps, final int count) {
        final Set<Integer> places = new java.util.HashSet<>();
        for (int i = 0; i < count; i++) {
            places.add(random.nextInt(steps));
        }
        return places;
    }
}
