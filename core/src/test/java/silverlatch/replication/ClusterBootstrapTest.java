package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a second cluster that machines with empty disks bootstrap, and against seeds that can't bootstrap one. */
final class ClusterBootstrapTest {
    private static final long SECOND = 1_000_000;

    @Test
    void anEmptyReplicaThatMayNotBootstrapWaitsForItsCluster() {
        final ReplicaCluster cluster =
                new ReplicaCluster(SixReplicas.SEEDS, SixReplicas.LINK_DELAY_MICROS, settings -> settings);
        cluster.start("a", true);
        cluster.start("b", true);
        cluster.start("c", false);
        cluster.advance(10 * SECOND);
        assertThat(SixReplicas.view(cluster).number(), is(0L));
        cluster.kill("c");
        cluster.loseDisk("c");
        cluster.start("c", true);
        cluster.advance(5 * SECOND);
        assertThat(SixReplicas.chain(cluster), is(Set.copyOf(SixReplicas.SEEDS)));
        SixReplicas.SEEDS.forEach(cluster::kill);
        SixReplicas.SEEDS.forEach(cluster::loseDisk);
        SixReplicas.SEEDS.forEach(address -> cluster.start(address, false));
        cluster.advance(10 * SECOND);
        assertThat(
                "empty disks bootstrap no second cluster",
                SixReplicas.view(cluster).number(),
                is(0L));
    }

    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "2,2", "3,3"})
    void oneTwoOrThreeSeedsBootstrapACluster(final int seeds, final int minReplicas) {
        final ReplicaCluster cluster = new ReplicaCluster(
                SixReplicas.SEEDS.subList(0, seeds),
                SixReplicas.LINK_DELAY_MICROS,
                settings -> settings.withCounts(minReplicas, 3));
        SixReplicas.SEEDS.subList(0, seeds).forEach(address -> cluster.start(address, true));
        cluster.advance(5 * SECOND);
        SixReplicas.put(cluster, "a", 1, 0);
        for (final String address : SixReplicas.SEEDS.subList(seeds, 3)) {
            cluster.start(address, false);
        }
        cluster.advance(10 * SECOND);
        assertThat(SixReplicas.chain(cluster), is(Set.copyOf(SixReplicas.SEEDS)));
        SixReplicas.assertNewest(cluster, 1);
    }
}
