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
                .flatMap(lag -> LongStream.iterate(600, apart -> apart <= 780, apart -> apart + 20)
                        .mapToObj(apart -> Arguments.of(lag, apart)));
    }

    /**
     * b hears nothing of a for the time of suspicion, and nothing of c for nearly as long; then b and c hear each other
     * again. c promises b's proposal, so it is there and holds everything: it stays in the chain. Before, the new chain
     * was b alone, and the loss of b's disk ended the cluster for good.
     */
    @ParameterizedTest
    @MethodSource("spans")
    void aMemberThatPromisesStaysInTheChain(final long lag, final long apart) {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, MILLISECOND, s -> s.counts(COPIES, 3));
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.pass(3 * SECOND);
        final ReplicaCluster.Asked first = cluster.lay("a", 1, 0, SECOND);
        cluster.pass(SECOND);
        assertThat("the first put" + cluster, first.kept(), is(true));

        cluster.cut("a", "b", true);
        cluster.cut("a", "c", true);
        cluster.pass(lag * MILLISECOND);
        cluster.cut("b", "c", true);
        final long before = cluster.quay("b").view().number();
        cluster.pass(apart * MILLISECOND);
        cluster.cut("b", "c", false);
        cluster.until(5 * SECOND, () -> cluster.quay("b").view().number() > before);
        assertThat(
                "the chain after the loss of a" + cluster,
                cluster.quay("b").view().chain().size(),
                greaterThanOrEqualTo(COPIES));

        cluster.kill("b");
        cluster.wipe("b");
        cluster.heal();
        cluster.start("b", false);
        cluster.pass(10 * SECOND);
        final ReplicaCluster.Asked last = cluster.lay("c", 2, 1, 5 * SECOND);
        cluster.pass(6 * SECOND);
        assertThat("writes go on after the loss of b's disk" + cluster, last.kept(), is(true));
    }
}
