package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The demand for a pool that a router reports, from which the worker counts are derived. */
final class RouterDemandTest extends RouterFixture {
    private void tickFor(final long duration) {
        for (final long end = now + duration; now < end; ) {
            now += SECOND / 4;
            router.tick(now);
        }
    }

    @Test
    void aRequestAndItsTokensCountFromItsArrivalUntilItEndsInAnyWay() {
        worker("w", "west", 0, false, 1);
        router.tick(now);
        final long completed = attemptIn(arrive("/once/x", List.of())).attemptId();
        arrive("/again/x", List.of());
        arrive("/again/x", List.of());
        tickFor(10 * SECOND);
        assertThat(router.demand().get(0).pool(), is("pool"));
        assertThat(router.demand().get(0).openRequests(), is(closeTo(3, 0.1)));
        assertThat(router.demand().get(0).openTokens(), is(closeTo(600, 10)));
        router.responseCompleted(completed, true, now);
        router.clientDisconnected(lastCallId, now);
        router.drainEffects();
        assertThat(router.openRequests(), is(1));
        tickFor(4 * SECOND);
        assertThat(router.demand().get(0).openRequests(), is(closeTo(1, 0.4)));
        tickFor(10 * SECOND);
        assertThat(router.openRequests(), is(0));
        assertThat(router.demand().isEmpty() || router.demand().get(0).openRequests() < 0.3, is(true));
    }

    @Test
    void aRequestWithoutAWorkerCountsAsAnArrivalButNotAsOpen() {
        refreshReports();
        router.tick(now);
        arrive("/again/x", List.of());
        tickFor(SECOND);
        assertThat(router.demand().get(0).arrivalsPerSecond() > 0, is(true));
        assertThat(router.demand().get(0).openRequests(), is(0.0));
    }
}
