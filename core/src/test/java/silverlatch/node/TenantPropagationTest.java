package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static silverlatch.node.ClusterSteps.PROPAGATION_LIMIT;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.allServe;
import static silverlatch.node.ClusterSteps.others;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.util.Digests;

/** Checks that gateways always apply routes and tenant keys of the same configuration; complete nodes on a simulated clock. */
final class TenantPropagationTest {
    private static final long STEP = 20_000L;
    private static final String FIRST_KEY = Digests.sha256Hex("first");
    private static final String SECOND_KEY = Digests.sha256Hex("second");

    private static void acknowledge(final NodeCluster cluster, final Command command) {
        final PendingCommand pending = cluster.put("c0", command);
        cluster.advanceUntil(2 * SECOND, () -> pending.endedAt() > 0);
        assertThat(pending.isAcknowledged(), is(true));
    }

    private static List<String> keysFollowed(final NodeCluster cluster, final String gateway) {
        return Configurations.keysFollowed(
                cluster.node(gateway).clusterSnapshot().policy());
    }

    /** Asserts that each running gateway uses the keys that belong to the configuration by which it routes. */
    private static void assertKeysMatchRoutes(final NodeCluster cluster, final List<String> gateways) {
        for (final String gateway : gateways) {
            final long number = cluster.servedRevision(gateway);
            final List<String> expected = number == 0 ? List.of() : List.of(number == 1 ? FIRST_KEY : SECOND_KEY);
            assertThat(gateway + " at " + number, keysFollowed(cluster, gateway), is(expected));
        }
    }

    @Test
    void revokedKeyDisappearsTogetherWithItsRoutesAndStaysRevokedAfterARestart() {
        for (int seed = 0; seed < 6; seed++) {
            final NodeCluster cluster = new NodeCluster(3, 4, 60 + seed);
            acknowledge(cluster, Configurations.withTenant(1, 0, FIRST_KEY));
            assertThat(cluster.advanceUntil(PROPAGATION_LIMIT, () -> allServe(cluster, 1)), greaterThanOrEqualTo(0L));
            assertKeysMatchRoutes(cluster, cluster.gateways());
            cluster.kill("g0");
            acknowledge(cluster, Configurations.withTenant(2, 1, SECOND_KEY));
            final List<String> running = List.of("g1", "g2", "g3");
            for (long passed = 0; passed < PROPAGATION_LIMIT; passed += STEP) {
                assertKeysMatchRoutes(cluster, running);
                cluster.advance(STEP);
            }
            assertThat(running.stream().allMatch(gateway -> cluster.servedRevision(gateway) == 2), is(true));
            final String lost = ClusterSteps.addressAt(cluster, 0);
            cluster.kill(lost);
            cluster.start("g0", others(cluster, lost));
            for (long passed = 0; passed < PROPAGATION_LIMIT; passed += STEP) {
                assertKeysMatchRoutes(cluster, List.of("g0"));
                cluster.advance(STEP);
            }
            assertThat(cluster.servedRevision("g0"), is(2L));
            assertThat(cluster.violations(), empty());
        }
    }
}
