package silverlatch.simulation.explore;

import java.util.concurrent.atomic.AtomicLong;

/** Runs random walks with consecutive seeds on several threads. */
final class WalkSearch {
    private static final int RECOVERY_EVERY = 8;
    private final WorldOptions options;
    private final int steps;
    private final Counters counters;
    private final Findings findings;

    WalkSearch(final WorldOptions options, final int steps, final Counters counters, final Findings findings) {
        this.options = options;
        this.steps = steps;
        this.counters = counters;
        this.findings = findings;
    }

    /** Runs one walk for each of {@code count} seeds from the first, or as many as begin before the deadline. */
    void run(final long firstSeed, final long count, final SearchLimits limits) {
        final AtomicLong next = new AtomicLong(firstSeed);
        ParallelRunner.run(limits.threads(), () -> {
            long seed = next.getAndIncrement();
            while (seed < firstSeed + count && !limits.isReached()) {
                walk(seed);
                seed = next.getAndIncrement();
            }
        });
    }

    /** Runs the walk of one seed, and for every eighth seed checks recovery at its end. */
    void walk(final long seed) {
        final RandomWalk walk = new RandomWalk(options, seed, steps);
        final World world = walk.run(seed % RECOVERY_EVERY == 0);
        counters.recordWalk(walk.actions().size(), world);
        world.violation()
                .ifPresent(violation -> findings.add(new Finding(violation, new Schedule(options, walk.actions()))));
    }
}
