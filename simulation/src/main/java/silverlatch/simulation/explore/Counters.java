package silverlatch.simulation.explore;

import java.util.concurrent.atomic.LongAdder;

/** Counts the walks, steps, states and operations of a search. Safe for use by several threads. */
final class Counters {
    private final LongAdder walks = new LongAdder();
    private final LongAdder steps = new LongAdder();
    private final LongAdder states = new LongAdder();
    private final LongAdder operations = new LongAdder();
    private final LongAdder answered = new LongAdder();

    /** Counts a walk with its number of steps, and the operations of its world. */
    void recordWalk(final long taken, final World world) {
        walks.increment();
        steps.add(taken);
        operations.add(world.history().operations().size());
        answered.add(world.history().operations().stream()
                .filter(operation -> operation.outcome().isPresent())
                .count());
    }

    /** Counts a state that was not visited before, and the steps of the replay that reached it. */
    void recordNewState(final long taken) {
        states.increment();
        steps.add(taken);
    }

    /** Counts the steps of a replay that reached a state visited before. */
    void recordKnownState(final long taken) {
        steps.add(taken);
    }

    long walks() {
        return walks.sum();
    }

    long steps() {
        return steps.sum();
    }

    long states() {
        return states.sum();
    }

    long operations() {
        return operations.sum();
    }

    long answered() {
        return answered.sum();
    }
}
