package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;

/** Guards against routing to a region that this gateway can't reach: when it counts as unreachable, and for how long. */
final class ReachabilityTest {
    private static final long MILLISECOND = 1_000;
    private static final long START = 100_000 * MILLISECOND;
    private final Reachability west = new Reachability("west");

    private static WorkerState worker(final String region) {
        final Worker worker =
                new Worker("w", "w:1", region + "1", region, 1, 1, 0, 0, 8, List.of(), false, 0, "pool", 0, 0);
        return new WorkerState(
                new Gossip.ObservedWorker(worker, Optional.of(START)), Router.Settings.DEFAULT_PREFIX_LIFETIME, START);
    }

    @Test
    void failedConnectionsMakeARegionUnreachableForTwiceAsLongEachTime() {
        long now = START;
        for (final long backoff : new long[] {500, 1_000, 2_000, 4_000, 4_000}) {
            west.recordConnectFailure(now);
            assertThat(west.isUnreachable(List.of(), now + backoff * MILLISECOND - 1), is(true));
            assertThat(west.isUnreachable(List.of(), now + backoff * MILLISECOND), is(false));
            now += 10_000 * MILLISECOND;
        }
        west.recordResponse(now);
        west.recordConnectFailure(now + 300 * MILLISECOND);
        assertThat(west.isUnreachable(List.of(), now + 799 * MILLISECOND), is(true));
        assertThat(west.isUnreachable(List.of(), now + 800 * MILLISECOND), is(false));
    }

    @Test
    void aFailedConnectionRightAfterAResponseDoesNotCount() {
        west.recordResponse(START);
        west.recordConnectFailure(START + 200 * MILLISECOND);
        assertThat(west.isUnreachable(List.of(), START + 200 * MILLISECOND), is(false));
    }

    @Test
    void anOverdueFirstEventMakesItsRegionUnreachableUntilAResponse() {
        final WorkerState western = worker("west");
        final LatencyPredictor.Prediction prediction = new LatencyPredictor.Prediction(
                100 * MILLISECOND, 100 * MILLISECOND, 0, new PoolLatencyModel.Features(1, 0, false, 0));
        western.startAttempt(1, prediction, START);
        final long overdue = START + 350 * MILLISECOND + 1;
        assertThat(west.isUnreachable(List.of(western), overdue - 1), is(false));
        assertThat(west.isUnreachable(List.of(western), overdue), is(true));
        assertThat(new Reachability("east").isUnreachable(List.of(western), overdue), is(false));
        west.recordResponse(overdue);
        assertThat(west.isUnreachable(List.of(western), overdue), is(false));
        western.startAttempt(2, prediction, overdue + 1);
        western.attempt(2).recordEvent(overdue + 2);
        assertThat(west.isUnreachable(List.of(western), overdue + 900 * MILLISECOND), is(false));
    }
}
