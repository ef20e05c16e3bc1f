package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;

/** How attempts and reports change the state of a worker: ejection, cache, backlog, latency factor and warm-up. */
final class WorkerStateTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final LatencyPredictor.Prediction PREDICTION = new LatencyPredictor.Prediction(
            SECOND / 10, SECOND / 10, 700, new PoolLatencyModel.Features(1, 0, false, 0));

    private static Gossip.ObservedWorker report(final long incarnation, final long warmupRemaining) {
        final Worker worker = new Worker(
                "w", "w:1", "west1", "west", incarnation, 1, 0, 0, 8, List.of(), false, 0, "pool", warmupRemaining, 0);
        return new Gossip.ObservedWorker(worker, Optional.of(START));
    }

    private final WorkerState worker = new WorkerState(report(1, 0), Router.Settings.DEFAULT_PREFIX_LIFETIME, START);

    @Test
    void consecutiveFailuresDoubleTheEjectionAndASuccessEndsIt() {
        long now = START;
        for (final long tenths : new long[] {5, 10, 20, 40, 80, 80, 80}) {
            worker.recordFailure(now);
            final long end = now + tenths * SECOND / 10;
            assertThat(worker.isEjected(end - 1), is(true));
            assertThat(worker.isEjected(end), is(false));
            now = end;
        }
        worker.startAttempt(1, PREDICTION, now);
        assertThat("ejected while the next attempt is in flight", worker.isEjected(now), is(true));
        worker.recordSuccess(worker.attempt(1), now + SECOND / 10);
        assertThat(worker.isEjected(now), is(false));
    }

    @Test
    void cachedPartsAreDroppedOnANewIncarnationAndAfterTheirLifetime() {
        worker.recordCached(7, START);
        assertThat(worker.hasCached(7, START + 45 * SECOND - 1), is(true));
        assertThat(worker.hasCached(7, START + 45 * SECOND), is(false));
        worker.update(report(1, 0), START);
        assertThat("the same report changes nothing", worker.hasCached(7, START), is(true));
        worker.update(report(2, 0), START);
        assertThat(worker.hasCached(7, START), is(false));
    }

    @Test
    void theNewestPartsAreKept() {
        for (int part = 0; part < 513; part++) {
            worker.recordCached(part, START);
        }
        assertThat(worker.hasCached(0, START), is(false));
        assertThat(worker.hasCached(1, START), is(true));
        assertThat(worker.hasCached(512, START), is(true));
    }

    @Test
    void onlyAttemptsWithoutAFirstEventCountAsPendingPrefill() {
        worker.startAttempt(1, PREDICTION, START);
        worker.startAttempt(2, PREDICTION, START);
        assertThat(worker.pendingPrefillTokens(), is(1_400L));
        assertThat(worker.attempt(1).recordEvent(START + 1), is(true));
        assertThat("the second event is not the first", worker.attempt(1).recordEvent(START + 2), is(false));
        assertThat(worker.pendingPrefillTokens(), is(700L));
        assertThat(worker.maxOverdue(START + SECOND), is(SECOND - SECOND / 5 - 150_000));
        worker.endAttempt(2);
        assertThat(worker.maxOverdue(START + SECOND), is(0L));
        assertThat(worker.attemptCount(), is(1));
    }

    @Test
    void theLatencyFactorFollowsTheLatenciesOfAttempts() {
        worker.startAttempt(1, PREDICTION, START);
        worker.recordSuccess(worker.attempt(1), START + SECOND / 2);
        final double slower = worker.latencyFactor();
        assertThat(slower, greaterThan(1.0));
        worker.startAttempt(2, PREDICTION, START);
        worker.recordSuccess(worker.attempt(2), START + SECOND / 100);
        assertThat(worker.latencyFactor(), lessThan(slower));
    }

    @Test
    void aWorkerWarmsUpForTheReportedTime() {
        worker.update(report(1, 3 * SECOND), START);
        assertThat(worker.isWarmingUp(START + SECOND), is(true));
        assertThat(worker.isWarmingUp(START + 3 * SECOND), is(false));
    }
}
