package silverlatch.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.PhysicalClock;
import silverlatch.state.Value;
import silverlatch.wire.TrafficMessage;

/** The counts by window. The monotonic clock of the process is 0 at the beginning of window 1000. */
final class UsageCounterTest {
    private static final long WINDOW = 5_000_000;
    private static final long START = 1_000 * WINDOW;
    private PhysicalClock clock = new PhysicalClock(START * 1_000, 0, 0);
    private final UsageCounter counter = new UsageCounter(new UsageSchedule(WINDOW, 2 * WINDOW), () -> clock);

    private static TrafficMessage.WindowCounts counts(
            final long window, final boolean isComplete, final Value.TenantCount... counts) {
        return new TrafficMessage.WindowCounts(window, isComplete, List.of(counts));
    }

    @Test
    void requestsAreCountedInTheWindowInWhichTheyBeginToRun() {
        counter.count("acme", 0);
        counter.count("acme", WINDOW - 1);
        counter.count("zeta", WINDOW - 1);
        counter.count("acme", WINDOW);
        assertThat(
                counter.windows(WINDOW),
                contains(
                        counts(1_000, false, new Value.TenantCount("acme", 2), new Value.TenantCount("zeta", 1)),
                        counts(1_001, false, new Value.TenantCount("acme", 1))));
    }

    @Test
    void aWindowIsCompleteOnlyAfterTheSlackForTheCountingLoop() {
        counter.windows(0);
        final long complete = WINDOW + UsageCounter.COMPLETION_SLACK_MICROS;
        assertThat(counter.windows(complete - 1).get(0).isComplete(), is(false));
        assertThat(counter.windows(complete), contains(counts(1_000, true), counts(1_001, false)));
    }

    @Test
    void windowsAreKeptUntilTheyAreClosedUpToAMaximum() {
        counter.count("acme", 0);
        counter.remove(List.of(999L));
        assertThat(counter.windows(0), hasSize(1));
        counter.remove(List.of(1_000L));
        assertThat(counter.hasCounts(), is(false));
        counter.count("acme", 0);
        assertThat(counter.windows(1_000 * WINDOW), hasSize(UsageCounter.MAX_WINDOWS));
        assertThat("the oldest window was dropped", counter.hasCounts(), is(false));
    }

    @Test
    void countsOfAClockThatWasAheadAreMovedToTheCurrentWindow() {
        counter.count("acme", 100 * WINDOW);
        clock = clock.shiftedBy(-100 * WINDOW);
        assertThat(counter.windows(100 * WINDOW), contains(counts(1_000, false, new Value.TenantCount("acme", 1))));
    }
}
