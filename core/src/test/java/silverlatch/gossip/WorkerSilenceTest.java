package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.GossipMessage;

/**
 * Tests when every node marks a worker as silent, and that none does so wrongly during a partition, after a pause of
 * a controller, or while a controller is dead.
 */
final class WorkerSilenceTest {
    private static final long SECOND = 1_000_000;

    @Test
    void silentWorkerIsReportedUntilLaterAnnouncementAndRemovedAfterRetention() {
        final GossipCluster cluster = new GossipCluster(6);
        cluster.sendHeartbeats("c0", 1, 3);
        cluster.advance(3_500_000);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
        cluster.advance(3_500_000);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(true)));
        cluster.announce("c1", 9);
        cluster.advance(SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
        cluster.advance(8 * SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(true)));
        cluster.advance(60 * SECOND);
        cluster.ids().forEach(id -> assertThat(id, cluster.observedAt(id).isPresent(), is(false)));
    }

    @Test
    void removedWorkerIsNotRestoredByNodesThatWerePartitionedOff() {
        final GossipCluster cluster = new GossipCluster(9);
        cluster.sendHeartbeats("c0", 1, 5);
        final List<String> side = List.of("c1", "g4", "g7");
        cluster.partitioned().addAll(side);
        cluster.advance(50 * SECOND);
        assertThat(
                "this side received no report of silence",
                cluster.observedAt("c1").orElseThrow().silent(),
                is(false));
        cluster.advance(25 * SECOND);
        final List<String> others =
                cluster.ids().stream().filter(id -> !side.contains(id)).toList();
        others.forEach(id -> assertThat(id, cluster.observedAt(id).isPresent(), is(false)));
        cluster.partitioned().clear();
        for (int i = 0; i < 100; i++) {
            cluster.advance(100_000);
            others.forEach(id -> assertThat(id, cluster.observedAt(id).isPresent(), is(false)));
        }
    }

    @Test
    void partitionMarksNoWorkerSilentThatMayAnnounceItselfOnOtherSide() {
        final GossipCluster cluster = new GossipCluster(9);
        cluster.sendHeartbeats("c0", 1, 3);
        cluster.partitioned().addAll(List.of("c0", "g3", "g6"));
        cluster.sendHeartbeats("c0", 4, 60);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
        cluster.partitioned().clear();
        cluster.sendHeartbeats("c0", 64, 5);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void wrongSilenceReportIsRefutedByControllerThatReceivesAnnouncements() {
        final GossipCluster cluster = new GossipCluster(5);
        cluster.sendHeartbeats("c0", 1, 3);
        final WorkerReport wrongReport = new WorkerReport(
                WorkerReport.of(GossipCluster.worker(1, 1, false, 0)).worker(), true, false, 5 * SECOND);
        cluster.node("g4")
                .onMessage(
                        new GossipMessage.GossipPush(List.of(), List.of(), List.of(wrongReport), 0),
                        "c1",
                        cluster.now());
        cluster.advance(SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void deadControllerSuppressesSilenceReportsInItsOwnZoneOnly() {
        final GossipCluster cluster = new GossipCluster(9);
        cluster.announce("c1", 1);
        cluster.node("c1")
                .onAnnouncement(
                        new Worker("v", "10.0.0.8:1", "z1", "r1", 1, 1, 0, 0, 8, List.of(), false, 0),
                        0,
                        cluster.now());
        cluster.deliverEffects("c1");
        cluster.advance(SECOND);
        cluster.dead().add("c0");
        cluster.advance(9 * SECOND);
        cluster.ids().stream().filter(id -> !id.equals("c0")).forEach(id -> {
            assertThat(id, cluster.node(id).workers().get("v").silent(), is(true));
            assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void resumedControllerMarksNoWorkerSilent() {
        final GossipCluster cluster = new GossipCluster(6);
        cluster.sendHeartbeats("c1", 1, 3);
        cluster.dead().add("c0");
        cluster.sendHeartbeats("c1", 4, 10);
        cluster.dead().clear();
        for (int i = 0; i < 8; i++) {
            cluster.sendHeartbeats("c1", 20 + i, 1);
            cluster.ids()
                    .forEach(id ->
                            assertThat(id, cluster.observedAt(id).orElseThrow().silent(), is(false)));
        }
    }
}
