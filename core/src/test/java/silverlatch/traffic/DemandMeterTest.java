package silverlatch.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import silverlatch.wire.TrafficMessage;

/**
 * The averages of the demand: their values, how fast they follow a step, and that a pause of the process doesn't
 * distort them.
 */
final class DemandMeterTest {
    private static final long TICK = 50_000L;
    private static final long SECOND = 1_000_000L;
    private final DemandMeter meter = new DemandMeter();
    private long now = 7 * SECOND;

    /** Opens a request of 100 tokens for pool p at each tick, and closes it after the given number of ticks. */
    private void run(final int ticks, final int duration) {
        for (int i = 0; i < ticks + duration; i++) {
            if (i < ticks) {
                meter.requestOpened("p", 100);
            }
            if (i >= duration) {
                meter.requestClosed("p", 100);
            }
            if (i < ticks) {
                now += TICK;
                meter.sample(now);
            }
        }
    }

    @Test
    void steadyTrafficIsMeasuredCorrectly() {
        run(400, 10);
        final TrafficMessage.PoolDemand demand = meter.latest().get(0);
        assertThat(demand.pool(), is("p"));
        assertThat(demand.arrivalsPerSecond(), is(closeTo(20, 0.5)));
        assertThat(demand.openRequests(), is(closeTo(10, 0.5)));
        assertThat(demand.openTokens(), is(closeTo(1_000, 50)));
    }

    @Test
    void anAverageFollowsAStepToTwoThirdsWithinTheTimeConstant() {
        meter.sample(now);
        for (int i = 0; i < 10; i++) {
            meter.requestOpened("p", 100);
        }
        for (int i = 0; i < 40; i++) {
            now += TICK;
            meter.sample(now);
        }
        assertThat(meter.latest().get(0).openRequests(), is(closeTo(6.3, 0.1)));
    }

    @Test
    void aLongPauseOfTheProcessCountsWithItsFullLength() {
        meter.sample(now);
        meter.requestOpened("p", 100);
        now += 20 * SECOND;
        meter.sample(now);
        assertThat(meter.latest().get(0).openRequests(), is(closeTo(1, 0.01)));
        assertThat(meter.latest().get(0).arrivalsPerSecond(), is(closeTo(0.05, 0.01)));
    }

    @Test
    void poolsWithoutDemandAreRemoved() {
        meter.sample(now);
        meter.requestOpened("p", 100);
        now += SECOND;
        meter.sample(now);
        meter.requestClosed("p", 100);
        assertThat(meter.latest(), hasSize(1));
        now += 60 * SECOND;
        meter.sample(now);
        assertThat(meter.latest(), is(empty()));
    }
}
