package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.state.CommandResult;

/** Guards against long write outages after the loss of replicas, with a delay of 35 ms in each direction between all machines. */
final class FailoverTimeTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> ADDRESSES = List.of("a", "b", "c", "d", "e", "f");
    private static final long LINK_DELAY_MICROS = 35_000;
    private static final long MAX_OUTAGE_MICROS = 1_500_000;
    private static final int FAULT_TIMES = 24;

    private static ReplicaCluster bootstrapped(final List<String> all) {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(2, all.size()));
        all.forEach(s -> cluster.start(s, true));
        final long spanMicros = cluster.advanceUntil(
                20_000_000,
                () -> all.stream()
                        .allMatch(s -> cluster.replica(s).status(cluster.now()).isCaughtUp()
                                && cluster.replica(s).view().chain().size() == all.size()));
        assertThat("all are in the chain", spanMicros >= 0, is(true));
        cluster.advance(1_000_000);
        return cluster;
    }

    /** Returns the longest time from the fault to an answer, over the remaining machines and several times of the fault. */
    private static long longestOutage(final List<String> all, final List<String> dead, final boolean isCut) {
        long longest = 0;
        for (int i = 0; i < FAULT_TIMES; i++) {
            final ReplicaCluster cluster = bootstrapped(all);
            cluster.advance(i * 7_300L);
            for (final String address : dead) {
                if (isCut) {
                    all.stream().filter(s -> !s.equals(address)).forEach(s -> cluster.setCut(s, address, true));
                } else {
                    cluster.kill(address);
                }
            }
            final List<PendingCall> calls = new ArrayList<>();
            all.stream()
                    .filter(s -> !dead.contains(s))
                    .forEach(s -> calls.add(cluster.putConfiguration(s, calls.size() + 1, -1, 6_000_000)));
            cluster.advance(6_500_000);
            assertThat(
                    "at least one write is acknowledged",
                    calls.stream().anyMatch(PendingCall::isAcknowledged),
                    is(true));
            calls.forEach(call -> assertThat(
                    "" + call.answerOrThrow(),
                    call.isAcknowledged() || call.answerOrThrow() instanceof CommandResult.Rejected,
                    is(true)));
            longest = Math.max(
                    longest,
                    calls.stream().mapToLong(PendingCall::latency).max().orElseThrow());
        }
        return longest;
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aWriteIsAcknowledgedSoonAfterAnyOfThreeDies(final String dead) {
        assertThat(longestOutage(SEEDS, List.of(dead), false), lessThan(MAX_OUTAGE_MICROS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aWriteIsAcknowledgedSoonAfterAnyOfThreeIsIsolated(final String lost) {
        assertThat(longestOutage(SEEDS, List.of(lost), true), lessThan(MAX_OUTAGE_MICROS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a,b", "a,f", "c,d", "e,f"})
    void aWriteIsAcknowledgedSoonAfterTwoOfSixDie(final String dead) {
        assertThat(longestOutage(ADDRESSES, List.of(dead.split(",")), false), lessThan(MAX_OUTAGE_MICROS));
    }

    @Test
    void writesAreAcknowledgedWhileTheVotersGrowFromThreeToSix() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(2, 6));
        ADDRESSES.forEach(s -> cluster.start(s, true));
        cluster.advanceUntil(5_000_000, () -> cluster.replica("a").view().number() == 1);
        final List<PendingCall> calls = LongStream.rangeClosed(1, 60)
                .mapToObj(i -> {
                    final PendingCall call = cluster.putConfiguration("b", i, -1, 3_000_000);
                    cluster.advance(50_000);
                    return call;
                })
                .toList();
        cluster.advance(3_000_000);
        assertThat(cluster.replica("a").view().voters().size(), is(6));
        assertThat(calls.stream().mapToLong(PendingCall::latency).max().orElseThrow(), lessThan(600_000L));
    }

    @Test
    void withoutFaultsAWriteTakesOneRoundTripThroughTheChain() {
        final ReplicaCluster cluster = bootstrapped(SEEDS);
        final PendingCall call = cluster.putConfiguration("b", 1, 0, 900_000);
        cluster.advance(900_000);
        assertThat(call.isAcknowledged(), is(true));
        assertThat(call.latency(), lessThan(6 * LINK_DELAY_MICROS));
    }
}
