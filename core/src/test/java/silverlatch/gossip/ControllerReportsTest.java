package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import silverlatch.wire.GossipMessage;

/**
 * Worker reports that controllers create must reach every node and not be undone by delayed announcements: draining,
 * warm-up and ended incarnations. Announcements that change nothing must not be forwarded.
 */
final class ControllerReportsTest {
    private static final long SECOND = 1_000_000;

    @Test
    void repeatedAnnouncementsRenewAgeWithoutBeingForwarded() {
        final GossipCluster cluster = new GossipCluster(12);
        cluster.announce("c0", 1);
        cluster.advance(3 * SECOND);
        cluster.sent().clear();
        cluster.sendHeartbeats("c0", 2, 20);
        assertThat(
                cluster.sent().stream()
                        .filter(message -> !(message instanceof GossipMessage.GossipPull
                                || message instanceof GossipMessage.GossipPullReply))
                        .toList(),
                empty());
        assertThat(cluster.observedAt("c0").orElseThrow().age(cluster.now()), lessThanOrEqualTo(1_300_000L));
        cluster.ids().forEach(id -> {
            assertThat(cluster.observedAt(id).orElseThrow().worker().sequence(), is(1L));
            assertThat(cluster.observedAt(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void drainReachesAllNodesWithinOneSecondAlthoughControllerDies() {
        final GossipCluster cluster = new GossipCluster(12);
        cluster.announce("c0", 1);
        cluster.advance(2 * SECOND);
        cluster.announce("c0", GossipCluster.worker(1, 2, true, 0));
        cluster.dead().add("c0");
        cluster.advance(SECOND);
        cluster.ids().stream()
                .filter(id -> !id.equals("c0"))
                .forEach(id -> assertThat(
                        id, cluster.observedAt(id).orElseThrow().worker().draining(), is(true)));
    }

    @Test
    void delayedAnnouncementDoesNotUndoDraining() {
        final GossipCluster cluster = new GossipCluster(5);
        cluster.announce("c0", 1);
        cluster.announce("c0", GossipCluster.worker(1, 9, true, 0));
        cluster.advance(SECOND);
        cluster.announce("c0", 8);
        cluster.announce("c1", 7);
        cluster.advance(2 * SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(cluster.observedAt(id).orElseThrow().worker().draining(), is(true)));
        cluster.announce("c1", 10);
        cluster.advance(SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(cluster.observedAt(id).orElseThrow().worker().draining(), is(false)));
    }

    @Test
    void goneWorkerStaysGoneUntilNewIncarnationAndIsRemovedAfterOneMinute() {
        final GossipCluster cluster = new GossipCluster(5);
        cluster.announce("c0", 1);
        cluster.advance(SECOND);
        assertThat(cluster.node("c1").onWorkerGone("nobody", cluster.now()), is(false));
        assertThat(cluster.node("c1").onWorkerGone("w", cluster.now()), is(true));
        cluster.deliverEffects("c1");
        assertThat(cluster.node("c1").onWorkerGone("w", cluster.now()), is(true));
        cluster.advance(SECOND);
        cluster.announce("c2", 50);
        cluster.advance(SECOND);
        cluster.ids().forEach(id -> assertThat(id, cluster.observedAt(id).isPresent(), is(false)));
        cluster.announce("c2", GossipCluster.worker(2, 1, false, 0));
        cluster.advance(SECOND);
        cluster.ids()
                .forEach(id -> assertThat(
                        id, cluster.observedAt(id).orElseThrow().worker().incarnation(), is(2L)));
        cluster.node("c0").onWorkerGone("w", cluster.now());
        cluster.deliverEffects("c0");
        cluster.advance(62 * SECOND);
        cluster.sent().clear();
        cluster.advance(3 * SECOND);
        assertThat(cluster.reportMessageCount(), is(0L));
        cluster.announce("c2", GossipCluster.worker(2, 2, false, 0));
        cluster.advance(SECOND);
        cluster.ids().forEach(id -> assertThat(id, cluster.observedAt(id).isPresent(), is(true)));
    }

    @Test
    void warmupExpiresOnEveryNodeWithoutItsEndBeingForwarded() {
        final GossipCluster cluster = new GossipCluster(12);
        cluster.announce("c0", GossipCluster.worker(1, 1, false, 9 * SECOND));
        final long start = cluster.now();
        for (int i = 2; i < 6; i++) {
            cluster.advance(SECOND);
            cluster.announce("c0", GossipCluster.worker(1, i, false, 9 * SECOND - (cluster.now() - start)));
        }
        cluster.ids().forEach(id -> {
            final long remaining = cluster.observedAt(id).orElseThrow().warmupRemaining(cluster.now());
            assertThat(id, remaining, greaterThan(9 * SECOND - (cluster.now() - start) - 1));
            assertThat(id, remaining, lessThanOrEqualTo(9 * SECOND - (cluster.now() - start) + 300_000));
        });
        cluster.sent().clear();
        cluster.advance(3 * SECOND);
        cluster.announce("c0", GossipCluster.worker(1, 6, false, 9 * SECOND - (cluster.now() - start)));
        cluster.advance(2_500_000);
        cluster.announce("c0", GossipCluster.worker(1, 7, false, 0));
        cluster.advance(SECOND);
        assertThat(cluster.reportMessageCount(), is(0L));
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().warmupRemaining(cluster.now()), is(0L)));
    }

    @Test
    void earlyEndOfWarmupIsForwarded() {
        final GossipCluster cluster = new GossipCluster(12);
        cluster.announce("c0", GossipCluster.worker(1, 1, false, 60 * SECOND));
        cluster.advance(2 * SECOND);
        cluster.announce("c0", 2);
        cluster.advance(SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.observedAt(id).orElseThrow().warmupRemaining(cluster.now()), is(0L)));
    }
}
