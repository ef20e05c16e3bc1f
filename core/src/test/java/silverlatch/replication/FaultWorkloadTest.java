package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against stale reads and lost acknowledged writes under random faults on six machines, see
 * {@link FaultWorkload}. The number of runs is set by {@code -Dsilverlatch.storms=COUNT}, the first seed by
 * {@code -Dsilverlatch.storm=SEED}.
 */
final class FaultWorkloadTest {
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noReadIsOlderThanAnAcknowledgementAndNoAcknowledgedWriteIsLost(final int minReplicas) {
        long acknowledgedWrites = 0;
        long answeredReads = 0;
        final long firstSeed = Long.getLong("silverlatch.storm", 1);
        final int count = Integer.getInteger("silverlatch.storms", 10);
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            final FaultWorkload workload = new FaultWorkload(seed, minReplicas);
            try {
                workload.run();
            } catch (final AssertionError failure) {
                throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
            }
            acknowledgedWrites += workload.acknowledgedWrites();
            answeredReads += workload.answeredReads();
        }
        assertThat("acknowledged writes", acknowledgedWrites, greaterThanOrEqualTo(100L * count));
        assertThat("answered reads", answeredReads, greaterThanOrEqualTo(150L * count));
    }
}
