package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.isIn;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that random walks detect each disabled safeguard by an expected property, with a schedule that violates nothing
 * while the safeguard is enabled. Walks that need {@code REPAIR_PENDING}, {@code VIEW_SYNC} or {@code TAKEOVER} are too rare:
 * {@code RepairOfPendingTest} disables the first with two replicas, and {@link FoundScheduleTest} replays a schedule with each
 * of the others disabled.
 */
final class MutantTest {
    private static final int STEPS = 700;
    private static final long FIRST_SEED = 1;
    private static final long SEEDS = 60_000;
    private static final int THREADS = 4;
    private static final long HOUR = 3_600;

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "REPAIR_PENDING", "VIEW_SYNC", "TAKEOVER"})
    void isDetectedByAnExpectedProperty(final Mutant mutant) {
        final SearchLimits limits = SearchLimits.within(THREADS, Long.MAX_VALUE, HOUR);
        final MutantTable.Row row = new MutantTable(STEPS, FIRST_SEED, SEEDS, limits).row(mutant);
        final Optional<Finding> caught = row.caught();
        assertThat(mutant + " survived " + row.walks() + " walks", caught.isPresent(), is(true));
        assertThat(caught.get().violation().property(), isIn(mutant.expected()));
    }
}
