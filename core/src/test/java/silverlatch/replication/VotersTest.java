package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against dead voters that keep their votes: a cluster of six replaces voters that are silent, lost their disk or never return. */
final class VotersTest {
    private static final long SECOND = 1_000_000;

    @Test
    void aSilentVoterOfSixLosesItsVoteAndRegainsItAfterARestart() {
        final ReplicaCluster cluster = SixReplicas.startSix(2);
        cluster.kill("e");
        cluster.advance(20 * SECOND);
        assertThat(SixReplicas.voters(cluster), is(Set.of("a", "b", "c", "d", "f")));
        cluster.kill("f");
        cluster.kill("d");
        SixReplicas.put(cluster, "a", 1, 0);
        cluster.start("e", false);
        cluster.start("f", false);
        cluster.start("d", false);
        cluster.advance(20 * SECOND);
        assertThat(SixReplicas.voters(cluster), is(Set.copyOf(SixReplicas.ADDRESSES)));
        assertThat(SixReplicas.chain(cluster), is(Set.copyOf(SixReplicas.ADDRESSES)));
        SixReplicas.assertNewest(cluster, 1);
    }

    @Test
    void aReplicaThatLostItsDiskReplacesItsOldIdentityAtItsAddress() {
        final ReplicaCluster cluster =
                new ReplicaCluster(SixReplicas.SEEDS, SixReplicas.LINK_DELAY_MICROS, settings -> settings);
        SixReplicas.SEEDS.forEach(address -> cluster.start(address, true));
        cluster.advance(3 * SECOND);
        SixReplicas.put(cluster, "a", 1, 0);
        final String oldId = SixReplicas.view(cluster).voters().get(1).id();
        cluster.kill("b");
        cluster.loseDisk("b");
        cluster.start("b", false);
        assertThat(
                cluster.advanceUntil(
                                5 * SECOND,
                                () -> cluster.replica("b").status(cluster.now()).isCaughtUp())
                        >= 0,
                is(true));
        assertThat(SixReplicas.view(cluster).isVoter(oldId), is(false));
        assertThat(SixReplicas.voters(cluster), is(Set.copyOf(SixReplicas.SEEDS)));
        assertThat(cluster.committedNumber("b"), is(1L));
        cluster.kill("a");
        SixReplicas.put(cluster, "b", 2, 1);
    }

    @Test
    void anEmptyReplicaAtANewAddressReplacesALostVoter() {
        final ReplicaCluster cluster = SixReplicas.startSix(2);
        SixReplicas.put(cluster, "a", 1, 0);
        cluster.kill("c");
        cluster.start("g", false);
        cluster.advance(10 * SECOND);
        assertThat(SixReplicas.voters(cluster), is(Set.of("a", "b", "d", "e", "f", "g")));
        assertThat(cluster.committedNumber("g"), is(1L));
        cluster.start("c", false);
        cluster.advance(10 * SECOND);
        assertThat(
                "the replaced voter waits to join", SixReplicas.voters(cluster).contains("c"), is(false));
        cluster.kill("d");
        cluster.advance(12 * SECOND);
        assertThat(
                "and replaces the next lost voter",
                SixReplicas.voters(cluster),
                is(Set.of("a", "b", "c", "e", "f", "g")));
        SixReplicas.put(cluster, "c", 2, 1);
        SixReplicas.assertNewest(cluster, 2);
    }

    @Test
    void membersThatHaveNotCaughtUpNeverFormAChainOfTheirOwn() {
        for (int i = 0; i < 40; i++) {
            final ReplicaCluster cluster = SixReplicas.startSix(2);
            final List<String> leaving = List.of("c", "d", "e", "f");
            for (final String address : leaving) {
                cluster.replica(address).leave();
                cluster.advanceUntil(
                        5 * SECOND, () -> !SixReplicas.chain(cluster).contains(address));
            }
            assertThat(SixReplicas.chain(cluster), is(Set.of("a", "b")));
            SixReplicas.put(cluster, "a", 1, 0);
            leaving.forEach(cluster::kill);
            leaving.forEach(address -> cluster.start(address, false));
            cluster.advance(i * 20_000L);
            cluster.kill("a");
            cluster.kill("b");
            cluster.advance(4 * SECOND);
            cluster.start("a", false);
            cluster.start("b", false);
            cluster.advance(15 * SECOND);
            SixReplicas.assertNewest(cluster, 1);
            SixReplicas.put(cluster, "d", 2, 1);
        }
    }
}
