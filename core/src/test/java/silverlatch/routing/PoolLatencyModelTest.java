package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.SplittableRandom;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;

/**
 * Guards against a latency model that doesn't fit its pool, or that a worker distorts by hanging or by reporting wrong
 * data.
 */
final class PoolLatencyModelTest {
    private static final double MILLISECOND = 1_000;
    private static final int REQUESTS = 150;
    private final SplittableRandom random = new SplittableRandom(11);
    private final PoolLatencyModel model = new PoolLatencyModel();

    /** Observes a first event of a pool with the given base time, time per token and round trip, all in microseconds. */
    private void observeRequest(final double base, final double perToken, final double roundTrip) {
        final double tokens = random.nextInt(200, 9_000);
        final boolean isRemote = random.nextInt(3) == 0;
        final double noise = random.nextDouble(0.8, 1.3);
        final double elapsed = (base + perToken * tokens) * noise + (isRemote ? roundTrip : 0);
        model.observe(new PoolLatencyModel.Features(1, tokens, isRemote, 0), Math.round(elapsed));
    }

    @Test
    void theModelFitsAFastPoolAfter150Requests() {
        for (int i = 0; i < REQUESTS; i++) {
            observeRequest(15 * MILLISECOND, 12, 25 * MILLISECOND);
        }
        assertThat(model.microsPerToken(), is(12, 3));
        assertThat(model.baseMicros(), is(15 * MILLISECOND, 20 * MILLISECOND));
        assertThat(model.roundTripMicros(), lessThan(55 * MILLISECOND));
    }

    @Test
    void theModelFitsASlowPoolAfter150Requests() {
        for (int i = 0; i < REQUESTS; i++) {
            observeRequest(80 * MILLISECOND, 70, 150 * MILLISECOND);
        }
        assertThat(model.microsPerToken(), is(70, 15));
        assertThat(model.roundTripMicros(), greaterThan(90 * MILLISECOND));
    }

    @Test
    void fewObservationsChangeLittle() {
        final double before = model.microsPerToken();
        for (int i = 0; i < 3; i++) {
            observeRequest(15 * MILLISECOND, 5, 25 * MILLISECOND);
        }
        assertThat(model.microsPerToken(), is(before, before / 3));
    }

    @Test
    void anExtremeObservationMovesTheModelByABoundedStepOnly() {
        for (int i = 0; i < REQUESTS; i++) {
            observeRequest(15 * MILLISECOND, 17, 70 * MILLISECOND);
        }
        final double before = model.microsPerToken();
        for (final long elapsed : List.of(Long.MAX_VALUE / 4, 0L, -1_000_000_000L, 3_600_000_000L)) {
            model.observe(new PoolLatencyModel.Features(1, 4_000, false, 0), elapsed);
            assertThat(model.microsPerToken(), is(before, before / 4));
        }
    }

    @Test
    void allEstimatesStayWithinTheirBounds() {
        for (int i = 0; i < 5_000; i++) {
            model.observe(new PoolLatencyModel.Features(4, 100_000, true, 0), i % 2 == 0 ? 0 : Long.MAX_VALUE / 4);
        }
        for (final double estimate :
                List.of(model.baseMicros(), model.microsPerToken() * 1_000, model.roundTripMicros())) {
            assertThat(estimate, greaterThanOrEqualTo(3 * MILLISECOND));
            assertThat(estimate, lessThanOrEqualTo(600 * MILLISECOND));
        }
    }

    private static Matcher<Double> is(final double expected, final double error) {
        return closeTo(expected, error);
    }
}
