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
 * @param faultSteps the steps at which something goes wrong or is mended
 * @param operationSteps     the steps at which an operation begins
 * @param faultKinds    the kinds of trouble this walk has
 */
record WalkPlan(int steps, Set<Integer> faultSteps, Set<Integer> operationSteps, List<FaultKind> faultKinds) {
    /** The kinds of trouble of a walk. */
    enum FaultKind {
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
    private static final Set<FaultKind> ELECTION = EnumSet.of(
            FaultKind.CUT_LINK, FaultKind.CRASH_UNSYNCED, FaultKind.DELAY, FaultKind.JUMP, FaultKind.RELEASE);

    private static final int ELECTION_WALKS = 4;
    private static final int MAX_FAULTS = 14;
    private static final int MAX_OPERATIONS = 16;
    private static final int MIN_OPERATIONS = 4;

    /** Copies the list. */
    WalkPlan {
        faultKinds = List.copyOf(faultKinds);
    }

    /** Draws a plan of so many steps. */
    static WalkPlan draw(final Random random, final int steps) {
        final Set<FaultKind> kinds = random.nextInt(ELECTION_WALKS) == 0 ? ELECTION : randomKinds(random);
        final Set<Integer> troubles = randomSteps(random, steps, 1 + random.nextInt(MAX_FAULTS));
        final Set<Integer> work =
                randomSteps(random, steps, MIN_OPERATIONS + random.nextInt(MAX_OPERATIONS - MIN_OPERATIONS));
        return new WalkPlan(steps, troubles, work, new ArrayList<>(kinds));
    }

    private static Set<FaultKind> randomKinds(final Random random) {
        final Set<FaultKind> kinds = EnumSet.of(FaultKind.RELEASE);
        for (final FaultKind kind : FaultKind.values()) {
            if (random.nextInt(2) == 0) {
                kinds.add(kind);
            }
        }
        return kinds;
    }

    private static Set<Integer> randomSteps(final Random random, final int steps, final int count) {
        final Set<Integer> places = new java.util.HashSet<>();
        for (int i = 0; i < count; i++) {
            places.add(random.nextInt(steps));
        }
        return places;
    }
}
