package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
import static silverlatch.node.ClusterSteps.addressAt;
import static silverlatch.node.ClusterSteps.others;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import silverlatch.routing.KeyAcceptance;
import silverlatch.safeguard.Safeguards;

/**
 * Keys that were taken away, at gateways in touch and out of touch; whole nodes on a simulated clock. Two gateways keep what they follow
 * over a restart, and all may route for a time after their start by what nobody has confirmed.
 */
final class RevocationTest {
    private static final long DEADLINE = 5 * SECOND;
    private static final long LEASE = DEADLINE * 9 / 10;
    private static final long GRACE = 3_500_000L;
    private static final int SEEDS = 5;

    /** How the machines of one side lose touch with the others. */
    enum Fault {
        CUT {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                cluster.links().partition(side, rest);
            }
        },
        DEAF {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                cluster.links().partitionOneWay(rest, side);
            }
        },
        MUTE {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                cluster.links().partitionOneWay(side, rest);
            }
        },
        FROZEN {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                side.forEach(cluster::freeze);
            }
        },
        SLOWED {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                side.forEach(name -> cluster.links().slow(name, 2 * SECOND));
            }
        },
        WITHOUT_POWER {
            @Override
            void inject(final NodeCluster cluster, final List<String> side, final List<String> rest) {
                side.forEach(cluster::powerOff);
                cluster.links().partition(side, rest);
                side.forEach(name -> cluster.start(name, seeds(cluster)));
            }
        };

        abstract void inject(NodeCluster cluster, List<String> side, List<String> rest);
    }

    private static NodeCluster cluster(final long seed) {
        final NodeCluster cluster = new NodeCluster(3, 4, seed, Safeguards.ALL, GRACE);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private static KeyMonitor watch(final NodeCluster cluster) {
        return new KeyMonitor(cluster, DEADLINE, new KeyAcceptance(DEADLINE));
    }

    private static List<String> machines(final NodeCluster cluster) {
        final List<String> all = new ArrayList<>(cluster.controllers());
        all.addAll(cluster.gateways());
        return all;
    }

    private static List<String> allBut(final NodeCluster cluster, final List<String> side) {
        return machines(cluster).stream().filter(name -> !side.contains(name)).toList();
    }

    private static List<String> seeds(final NodeCluster cluster) {
        final List<String> seeds = new ArrayList<>(cluster.controllers());
        seeds.addAll(List.of("g0", "g1"));
        return seeds;
    }

    @Test
    void connectedGatewaysAcceptKeysAllTheTimeAlsoWhileConfigurationsChange() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(100 + seed);
            final KeyMonitor keys = watch(cluster);
            for (int number = 2; number < 12; number++) {
                acknowledge(cluster, cluster.controllers(), number, 5 * SECOND);
            }
            cluster.advance(20 * SECOND);
            assertThat("seed " + seed, keys.drainLongestRefusal(), is(0L));
            assertThat(keys.violations(), empty());
        }
    }
}
