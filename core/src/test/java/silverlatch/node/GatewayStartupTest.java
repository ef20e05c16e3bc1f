package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static silverlatch.node.ClusterSteps.OUTAGE;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
import static silverlatch.node.ClusterSteps.addressAt;
import static silverlatch.node.ClusterSteps.allServe;
import static silverlatch.node.ClusterSteps.others;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Checks that a starting gateway may route by an unconfirmed configuration, but only for a bounded time (the startup grace).
 * The test runs complete nodes on a simulated clock; two gateways keep their configuration on disk.
 */
final class GatewayStartupTest {
    private static final long GRACE = 2_500_000L;
    private static final long STEP = 50_000L;

    /** The maximum time, in microseconds, until a gateway is ready that finds another gateway with a configuration. */
    private static final long READY_LIMIT = 700_000L;

    private static NodeCluster cluster(final long seed, final Safeguards safeguards) {
        final NodeCluster cluster = new NodeCluster(3, 4, seed, safeguards, GRACE);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private static List<String> seeds(final NodeCluster cluster) {
        final List<String> seeds = new ArrayList<>(cluster.controllers());
        seeds.addAll(List.of("g0", "g1"));
        return seeds;
    }

    private static void killAll(final NodeCluster cluster) {
        cluster.controllers().forEach(cluster::kill);
        cluster.gateways().forEach(cluster::kill);
        cluster.advance(SECOND);
    }

    @Test
    void allGatewaysServeBeforeAnyControllerIsUpAfterAFullOutage() {
        for (int seed = 0; seed < 8; seed++) {
            final NodeCluster cluster = cluster(100 + seed, Safeguards.ALL);
            killAll(cluster);
            cluster.gateways().forEach(gateway -> cluster.start(gateway, seeds(cluster)));
            final long took = cluster.advanceUntil(READY_LIMIT, () -> allServe(cluster, 1));
            assertThat("seed " + seed, took, greaterThanOrEqualTo(0L));
            cluster.advance(SECOND - took);
            cluster.controllers().forEach(controller -> cluster.start(controller, cluster.controllers()));
            for (long passed = SECOND; passed < 6 * SECOND; passed += STEP) {
                cluster.advance(STEP);
                assertThat("at " + passed, allServe(cluster, 1), is(true));
            }
            assertThat(cluster.violations(), empty());
            acknowledge(cluster, cluster.controllers(), 2, 5 * SECOND);
            assertThat(
                    cluster.advanceUntil(ClusterSteps.PROPAGATION_LIMIT, () -> allServe(cluster, 2)),
                    greaterThanOrEqualTo(0L));
        }
    }

    @Test
    void unconfirmedConfigurationIsServedOnlyDuringTheStartupGrace() {
        assertThat(servedWithoutConfirmation(Safeguards.ALL), lessThanOrEqualTo(GRACE));
    }

    @Test
    void withoutTheStartupGraceLimitAnOutdatedConfigurationIsServedMuchLonger() {
        final Safeguards unbounded = new Safeguards(java.util.Set.of(Safeguard.STARTUP_GRACE));
        assertThat(servedWithoutConfirmation(unbounded), greaterThan(2 * GRACE));
    }

    /** Returns the longest time after its start at which a gateway next to an isolated controller still serves, over all positions. */
    private static long servedWithoutConfirmation(final Safeguards safeguards) {
        long last = 0;
        for (int position = 0; position < 3; position++) {
            final NodeCluster cluster = cluster(200 + position, safeguards);
            final String victim = addressAt(cluster, position);
            final List<String> side = List.of(victim, "g0", "g1");
            final List<String> rest = new ArrayList<>(others(cluster, victim));
            rest.addAll(List.of("g2", "g3"));
            cluster.links().partition(side, rest);
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            cluster.kill("g0");
            cluster.advance(SECOND);
            cluster.start("g0", seeds(cluster));
            for (long passed = STEP; passed < OUTAGE; passed += STEP) {
                cluster.advance(STEP);
                last = cluster.isReady("g0") ? Math.max(last, passed) : last;
            }
            cluster.links().heal();
            cluster.advanceUntil(5 * SECOND, () -> cluster.servedRevision("g0") == 2);
            assertThat(cluster.servedRevision("g0"), is(2L));
            assertThat(cluster.violations(), empty());
        }
        return last;
    }

    @Test
    void gatewayThatFindsNoConfigurationIsNotReady() {
        final NodeCluster cluster = cluster(300, Safeguards.ALL);
        killAll(cluster);
        cluster.start("g2", seeds(cluster));
        cluster.start("g3", seeds(cluster));
        cluster.advance(2 * SECOND);
        assertThat(cluster.isReady("g2") || cluster.isReady("g3"), is(false));
        cluster.start("g1", seeds(cluster));
        final long took = cluster.advanceUntil(
                SECOND, () -> cluster.isReady("g1") && cluster.isReady("g2") && cluster.isReady("g3"));
        assertThat(took, is(both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(READY_LIMIT))));
    }

    @Test
    void gatewayInContactWithAMajorityUsesTheNewestConfigurationInsteadOfItsSavedOne() {
        final NodeCluster cluster = cluster(400, Safeguards.ALL);
        cluster.kill("g0");
        acknowledge(cluster, cluster.controllers(), 2, 5 * SECOND);
        cluster.start("g0", seeds(cluster));
        final long took = cluster.advanceUntil(READY_LIMIT, () -> cluster.servedRevision("g0") == 2);
        assertThat(took, greaterThanOrEqualTo(0L));
        assertThat(cluster.violations(), empty());
    }
}
