package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seeded storms of faults over six machines, see {@link FaultWorkload}. More storms: {@code -Dsilverlatch.storms=COUNT}, from
 * another seed: {@code -Dsilverlatch.storm=SEED}.
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
            final FaultWorkload storm = new FaultWorkload(seed, minReplicas);
            try {
                storm.run();
            } catch (final AssertionError failure) {
                throw new AssertionError("storm " + seed + ": " + failure.getMessage(), failure);
            }
            acknowledgedWrites += storm.acknowledgedWrites();
            answeredReads += storm.answeredReads();
        }
        assertThat("most changes were kept", acknowledgedWrites, greaterThanOrEqualTo(100L * count));
        assertThat("most reads were answered", answeredReads, greaterThanOrEqualTo(150L * count));
    }
}
