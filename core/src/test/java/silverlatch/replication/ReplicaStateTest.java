package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against wrong state transitions of a replica, and against changed labels in the status API. */
final class ReplicaStateTest {
    @ParameterizedTest
    @CsvSource({
        "EMPTY, true, IN_CHAIN",
        "EMPTY, false, OUTSIDE_CHAIN",
        "OUTSIDE_CHAIN, true, IN_CHAIN",
        "OUTSIDE_CHAIN, false, OUTSIDE_CHAIN",
        "IN_CHAIN, true, IN_CHAIN",
        "IN_CHAIN, false, OUTSIDE_CHAIN",
        "DISK_FAILED, true, DISK_FAILED",
        "DISK_FAILED, false, DISK_FAILED"
    })
    void aViewDecidesWhetherAReplicaIsInTheChainUnlessItsDiskFailed(
            final ReplicaState before, final boolean inChain, final ReplicaState after) {
        assertThat(before.afterView(inChain), is(after));
    }

    @ParameterizedTest
    @EnumSource
    void aDiskFailureOverridesEveryState(final ReplicaState before) {
        assertThat(before.afterDiskFailure(), is(ReplicaState.DISK_FAILED));
    }

    @Test
    void theLabelsAreThoseOfTheStatusApi() {
        assertThat(
                Arrays.stream(ReplicaState.values()).map(ReplicaState::label).toList(),
                is(List.of("empty", "outside", "chained", "broken")));
    }
}
