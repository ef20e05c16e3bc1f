package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs a bounded exploration of the replica with all safeguards enabled, by fixed seeds: no property may be violated. */
final class ExplorerTest {
    private static final int STEPS = 700;
    private static final int THREADS = 4;
    private static final long HOUR = 3_600;
    private final Counters counters = new Counters();
    private final Findings findings = new Findings();

    private static SearchLimits unlimited() {
        return SearchLimits.within(THREADS, Long.MAX_VALUE, HOUR);
    }

    @ParameterizedTest
    @CsvSource({"3, 1000", "4, 500", "5, 400", "6, 200"})
    void noPropertyBreaksOnRandomWalks(final int replicas, final int walks) {
        new WalkSearch(WorldOptions.of(replicas, Mutant.NONE), STEPS, counters, findings).run(1, walks, unlimited());
        assertThat(findings.all(), is(empty()));
        assertThat("walks", counters.walks(), is((long) walks));
        assertThat("most operations end", counters.answered() * 2, greaterThan(counters.operations()));
    }

    @Test
    void noPropertyBreaksBreadthFirst() {
        final int depth = new BreadthFirstSearch(WorldOptions.of(3, Mutant.NONE), new Moves(2, 3), counters, findings)
                .run(2, unlimited());
        assertThat(findings.all(), is(empty()));
        assertThat("whole to depth", depth, is(2));
        assertThat("states", counters.states(), greaterThan(500L));
    }
}
