package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.state.CommandResult;

/** Guards against the loss of acknowledged writes through crashes, restarts and lost disks of fewer machines than the minimum number of replicas. */
final class AcknowledgedWritesTest {
    private static final long SECOND = 1_000_000;

    @Test
    void sixReplicasWithThreeSeedsAllBecomeVotersAndSurviveTwoCrashesAtOnce() {
        final ReplicaCluster cluster = SixReplicas.startSix(2);
        SixReplicas.put(cluster, "f", 1, 0);
        assertThat("an acknowledged write is synced on every disk of the chain", cluster.countSyncedDisks(1), is(6L));
        cluster.kill("a");
        cluster.kill("f");
        final long at = cluster.now();
        SixReplicas.put(cluster, "d", 2, 1);
        assertThat("after the head and the tail died", cluster.now() - at, lessThan(2_500_000L));
        SixReplicas.assertNewest(cluster, 2);
    }

    @Test
    void anyTwoOfSixMayCrashAtOnce() {
        for (int i = 0; i < 6; i++) {
            for (int j = i + 1; j < 6; j++) {
                final ReplicaCluster cluster = SixReplicas.startSix(3);
                cluster.advance(i * 17_300L + j * 5_700L);
                cluster.kill(SixReplicas.ADDRESSES.get(i));
                cluster.kill(SixReplicas.ADDRESSES.get(j));
                final long at = cluster.now();
                SixReplicas.put(
                        cluster, cluster.running().stream().sorted().findFirst().orElseThrow(), 1, 0);
                assertThat(
                        SixReplicas.ADDRESSES.get(i) + SixReplicas.ADDRESSES.get(j),
                        cluster.now() - at,
                        lessThan(2_500_000L));
                assertThat(cluster.countSyncedDisks(1), greaterThanOrEqualTo(4L));
            }
        }
    }

    @Test
    void replicasThatAllRestartAtOnceHaveTheNewestConfiguration() {
        final ReplicaCluster cluster = SixReplicas.startSix(2);
        for (long i = 1; i <= 5; i++) {
            SixReplicas.put(cluster, SixReplicas.ADDRESSES.get((int) i), i, i - 1);
        }
        SixReplicas.ADDRESSES.forEach(cluster::kill);
        cluster.advance(SECOND);
        SixReplicas.ADDRESSES.forEach(address -> cluster.start(address, false));
        cluster.advance(3 * SECOND);
        SixReplicas.assertNewest(cluster, 5);
        SixReplicas.put(cluster, "b", 6, 5);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void anAcknowledgedConfigurationSurvivesFewerLostDisksThanCopiesAndAPowerCutOfTheRest(final int minReplicas) {
        for (int round = 0; round < 12; round++) {
            final ReplicaCluster cluster = SixReplicas.startSix(minReplicas);
            for (int i = 0; i < round % 3; i++) {
                cluster.kill(SixReplicas.ADDRESSES.get((round + 2 * i) % 6));
            }
            final String at = cluster.running().stream().sorted().toList().get(round % 2);
            SixReplicas.put(cluster, at, 1, 0);
            final List<String> lost = SixReplicas.chain(cluster).stream()
                    .sorted()
                    .skip(round % 2)
                    .limit(minReplicas - 1)
                    .toList();
            List.copyOf(cluster.running()).forEach(cluster::kill);
            lost.forEach(cluster::loseDisk);
            cluster.advance(round * 50_000L);
            SixReplicas.ADDRESSES.forEach(address -> cluster.start(address, false));
            cluster.advance(25 * SECOND);
            SixReplicas.assertNewest(cluster, 1);
            assertThat(SixReplicas.chain(cluster), is(Set.copyOf(SixReplicas.ADDRESSES)));
        }
    }

    @Test
    void nothingIsAcknowledgedWhileTheChainIsShorterThanTheRequiredCopies() {
        final ReplicaCluster cluster = new ReplicaCluster(
                SixReplicas.SEEDS, SixReplicas.LINK_DELAY_MICROS, settings -> settings.withCounts(3, 3));
        SixReplicas.SEEDS.forEach(address -> cluster.start(address, true));
        cluster.advance(3 * SECOND);
        SixReplicas.put(cluster, "a", 1, 0);
        final PendingCall interrupted = cluster.putConfiguration("a", 2, 1, 2 * SECOND);
        cluster.advance(60_000);
        cluster.kill("c");
        cluster.advance(5 * SECOND);
        assertThat(interrupted.answerOrThrow(), instanceOf(CommandResult.Unknown.class));
        assertThat(
                "a read doesn't return it",
                ((ChainClient.ReadResult) SixReplicas.read(cluster, "a"))
                        .entries().stream().map(SixReplicas::documentText).toList(),
                not(is(List.of("paper 2"))));
        cluster.start("c", false);
        cluster.advance(8 * SECOND);
        SixReplicas.put(cluster, "b", 3, 2);
        SixReplicas.assertNewest(cluster, 3);
    }

    @Test
    void aTailReachedByOnlyOneVoterLosesItsLeaseBeforeTheOthersInstallAViewWithoutIt() {
        for (int i = 0; i < 20; i++) {
            final ReplicaCluster cluster =
                    new ReplicaCluster(SixReplicas.SEEDS, SixReplicas.LINK_DELAY_MICROS, settings -> settings);
            SixReplicas.SEEDS.forEach(address -> cluster.start(address, true));
            cluster.advance(3 * SECOND + i * 6_100L);
            cluster.setCut("a", "c", true);
            final long oldNumber = SixReplicas.view(cluster).number();
            final long spanMicros = cluster.advanceUntil(5 * SECOND, () -> {
                final boolean hasLaterView = SixReplicas.view(cluster).number() > oldNumber;
                final ReplicaStatus tail = cluster.replica("c").status(cluster.now());
                assertThat(
                        "the old tail holds a lease under the old view",
                        hasLaterView && tail.view().number() == oldNumber && tail.isLeased(),
                        is(false));
                return hasLaterView && tail.view().number() > oldNumber;
            });
            assertThat("all installed a later view", spanMicros >= 0, is(true));
        }
    }
}
