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

/** A view change must not leave a chain shorter than the copies that an acknowledgement needs, where more could stay. */
final class ShortChainTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final int COPIES = 2;
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000 * MILLISECOND;

    /** How long a is alone before b and c part, and how long those two are apart, in milliseconds. */
    static Stream<Arguments> spans() {
        return LongStream.of(0, 60, 120, 180, 240)
                .boxed()
                .flatMap(lag -> LongStream.iterate(600, separated -> separated <= 780, separated -> separated + 20)
                        .mapToObj(separated -> Arguments.of(lag, separated)));
    }

    /**
     * b hears nothing of a for the time of suspicion, and nothing of c for nearly as long; then b and c hear each other
     * again. c promises b's proposal, so it is there and holds everything: it stays in the chain. Before, the new chain
     * was b alone, and the loss of b's disk ended the cluster for good.
     */
    @ParameterizedTest
    @MethodSource("spans")
    void aMemberThatPromisesStaysInTheChain(final long lag, final long separated) {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, MILLISECOND, s -> s.withCounts(COPIES, 3));
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
                greaterThanOrEqualTo(COPIES));

        cluster.kill("b");
        cluster.loseDisk("b");
        cluster.heal();
        cluster.start("b", false);
        cluster.advance(10 * SECOND);
        final PendingCall last = cluster.putConfiguration("c", 2, 1, 5 * SECOND);
        cluster.advance(6 * SECOND);
        assertThat("writes go on after the loss of b's disk" + cluster, last.isAcknowledged(), is(true));
    }
}
