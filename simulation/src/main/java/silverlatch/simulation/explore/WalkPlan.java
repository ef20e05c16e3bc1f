package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The plan of one random walk, drawn from its seed: faults of a few kinds at a few steps (most walks use only some of the
 * kinds), and operations at other steps.
 *
 * @param steps          the number of steps of the walk
 * @param faultSteps     the steps at which a fault begins or ends
 * @param operationSteps the steps at which an operation begins
 * @param faultKinds     the kinds of faults of this walk
 */
record WalkPlan(int steps, Set<Integer> faultSteps, Set<Integer> operationSteps, List<FaultKind> faultKinds) {
    /** The kinds of faults of a walk. */
    enum FaultKind {
        /** Stops handling a channel or a disk until a release, while everything else and the clock proceed. */
        DELAY,
        /** Thaws and restarts some machines, and may restore the links and end the delays. */
        RELEASE,
        /** Drops a message. */
        DROP,
        /** Duplicates a message. */
        DUPLICATE,
        /** Delivers a message before earlier ones of its channel. */
        REORDER,
        /** Crashes a process; some of its unsynced writes may reach the disk. */
        CRASH,
        /** Crashes a process that has unsynced writes, all of which are lost, and may restart it at once. */
        CRASH_UNSYNCED,
        /** Crashes all processes at once. */
        CRASH_ALL,
        /** Erases a disk. */
        LOSE_DISK,
        /** Freezes a process. */
        FREEZE,
        /** Cuts all links of a machine, in one direction or both. */
        ISOLATE,
        /** Cuts the links between two machines, while both keep their links to the others. */
        CUT_LINK,
        /** Advances the clock although work is pending. */
        JUMP,
        /** Freezes a process, sends it a command on the zone, and once its caller has left sends another command elsewhere. */
        FREEZE_WITH_COMMAND
    }

    /** The kinds by which several machines propose different views concurrently and lose unsynced promises. */
    private static final Set<FaultKind> ELECTION = EnumSet.of(
            FaultKind.CUT_LINK, FaultKind.CRASH_UNSYNCED, FaultKind.DELAY, FaultKind.JUMP, FaultKind.RELEASE);

    private static final int ELECTION_WALKS = 4;
    private static final int MAX_FAULTS = 14;
    private static final int MAX_OPERATIONS = 16;
    private static final int MIN_OPERATIONS = 4;

    /** Copies the list of kinds. */
    WalkPlan {
        faultKinds = List.copyOf(faultKinds);
    }

    /** Draws a plan for a number of steps. */
    static WalkPlan draw(final Random random, final int steps) {
        final Set<FaultKind> kinds = random.nextInt(ELECTION_WALKS) == 0 ? ELECTION : randomKinds(random);
        final Set<Integer> faultSteps = randomSteps(random, steps, 1 + random.nextInt(MAX_FAULTS));
        final Set<Integer> operationSteps =
                randomSteps(random, steps, MIN_OPERATIONS + random.nextInt(MAX_OPERATIONS - MIN_OPERATIONS));
        return new WalkPlan(steps, faultSteps, operationSteps, new ArrayList<>(kinds));
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
        final Set<Integer> drawn = new java.util.HashSet<>();
        for (int i = 0; i < count; i++) {
            drawn.add(random.nextInt(steps));
        }
        return drawn;
    }
}
