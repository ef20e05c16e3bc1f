package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against view changes that needlessly leave a chain with fewer members than the replicas that an acknowledgement requires. */
final class ShortChainTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final int MIN_REPLICAS = 2;
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000 * MILLISECOND;

    /** Returns for how long a is isolated before b and c are separated, and for how long those two are separated, in milliseconds. */
    static Stream<Arguments> spans() {
        return LongStream.of(0, 60, 120, 180, 240)
                .boxed()
                .flatMap(lag -> LongStream.iterate(600, separated -> separated <= 780, separated -> separated + 20)
                        .mapToObj(separated -> Arguments.of(lag, separated)));
    }

    /**
     * b receives nothing from a for the suspicion timeout, and nothing from c for nearly as long; then the link between b and c is
     * restored. c promises to b's proposal, so it is alive and has all entries, and must stay in the chain. Without that rule
     * the new chain consists of b alone, and the loss of b's disk stops the cluster permanently.
     */
    @ParameterizedTest
    @MethodSource("spans")
    void aMemberThatPromisesStaysInTheChain(final long lag, final long separated) {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, MILLISECOND, s -> s.withCounts(MIN_REPLICAS, 3));
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.advance(3 * SECOND);
        final PendingCall first = cluster.putConfiguration("a", 1, 0, SECOND);
        cluster.advance(SECOND);
        assertThat("the first put" + cluster, first.isAcknowledged(), is(true));

        cluster.setCut("a", "b", true);
        cluster.setCut("a", "c", true);
        cluster.advance(lag * MILLISECOND);
        cluster.setCut("b", "c", true);
        final long previousNumber = cluster.replica("b").view().number();
        cluster.advance(separated * MILLISECOND);
        cluster.setCut("b", "c", false);
        cluster.advanceUntil(5 * SECOND, () -> cluster.replica("b").view().number() > previousNumber);
        assertThat(
                "the chain after the loss of a" + cluster,
                cluster.replica("b").view().chain().size(),
                greaterThanOrEqualTo(MIN_REPLICAS));

        cluster.kill("b");
        cluster.loseDisk("b");
        cluster.heal();
        cluster.start("b", false);
        cluster.advance(10 * SECOND);
        final PendingCall last = cluster.putConfiguration("c", 2, 1, 5 * SECOND);
        cluster.advance(6 * SECOND);
        assertThat("a write is acknowledged after the loss of b's disk" + cluster, last.isAcknowledged(), is(true));
    }
}
