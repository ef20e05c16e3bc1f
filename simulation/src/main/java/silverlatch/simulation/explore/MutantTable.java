package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Disables one safeguard at a time and runs random walks until one violates a property that the mutant is expected to
 * violate, by a schedule that violates nothing with all safeguards enabled.
 */
final class MutantTable {
    private static final int RECOVERY_EVERY = 8;
    private static final int WORLD_SIZES = 3;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private final int steps;
    private final long firstSeed;
    private final long seeds;
    private final SearchLimits limits;

    /**
     * A row of the table.
     *
     * @param caught  the violation that detected the mutant, with its schedule; empty if the mutant survived
     * @param seconds the duration of the search
     * @param walks   the number of walks begun
     */
    record Row(Mutant mutant, Optional<Finding> caught, double seconds, long walks) {}

    /** Creates a table from walks of a number of steps. The limits are those of one mutant, from the start of its row. */
    MutantTable(final int steps, final long firstSeed, final long seeds, final SearchLimits limits) {
        this.steps = steps;
        this.firstSeed = firstSeed;
        this.seeds = seeds;
        this.limits = limits;
    }

    /** Searches for a schedule that detects one mutant, and returns its row. */
    Row row(final Mutant mutant) {
        final long begin = System.nanoTime();
        final AtomicLong next = new AtomicLong(firstSeed);
        final AtomicReference<Optional<Finding>> caught = new AtomicReference<>(Optional.empty());
        ParallelRunner.run(limits.threads(), () -> {
            long seed = next.getAndIncrement();
            while (seed < firstSeed + seeds && caught.get().isEmpty() && !limits.isReached()) {
                findByWalk(mutant, seed)
                        .ifPresent(finding -> caught.compareAndSet(Optional.empty(), Optional.of(finding)));
                seed = next.getAndIncrement();
            }
        });
        final double seconds = (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND;
        return new Row(mutant, caught.get(), seconds, Math.min(next.get() - firstSeed, seeds));
    }

    /** Returns the finding by which the walk of a seed detects a mutant; the seed chooses 3 to 5 machines in turn. */
    Optional<Finding> findByWalk(final Mutant mutant, final long seed) {
        final int replicas = WorldOptions.MIN_REPLICAS + (int) (seed % WORLD_SIZES);
        final WorldOptions options = WorldOptions.of(replicas, mutant);
        final RandomWalk walk = new RandomWalk(options, seed, steps);
        return walk.run(seed % RECOVERY_EVERY == 0)
                .violation()
                .filter(violation -> mutant.expected().contains(violation.property()))
                .map(violation -> new Finding(violation, new Schedule(options, walk.actions())))
                .filter(finding ->
                        isCorrectWithoutMutant(replicas, finding.schedule().actions()));
    }

    private static boolean isCorrectWithoutMutant(final int replicas, final List<Action> actions) {
        return new Schedule(WorldOptions.of(replicas, Mutant.NONE), actions)
                .replay()
                .violation()
                .isEmpty();
    }

    /** Formats the rows as a Markdown table. */
    static String text(final List<Row> rows) {
        final List<String> lines = new ArrayList<>();
        lines.add("| mutant | caught by | seconds | walks |");
        lines.add("| --- | --- | --- | --- |");
        rows.forEach(row -> lines.add(String.format(
                Locale.ROOT,
                "| `%s` | %s | %.2f | %d |",
                row.mutant(),
                row.caught()
                        .map(finding -> "`" + finding.violation().property() + "`")
                        .orElse("**survived**"),
                row.seconds(),
                row.walks())));
        return String.join("\n", lines);
    }
}
