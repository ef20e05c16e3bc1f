package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
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
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import silverlatch.routing.KeyAcceptance;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Guards against gateways that accept revoked keys, in particular while they are isolated or after a restart with a saved configuration.
 * The test runs complete nodes on a simulated clock. Two gateways keep their configuration over a restart, and all may route by an
 * unconfirmed configuration for a time after their start.
 */
final class RevocationTest {
    private static final long DEADLINE = 5 * SECOND;
    private static final long LEASE = DEADLINE * 9 / 10;
    private static final long GRACE = 3_500_000L;
    private static final int SEEDS = 3;
    private static final Safeguards WITHOUT_LEASE = new Safeguards(Set.of(Safeguard.REVOCATION_LEASE));

    /** How the machines of one side lose contact with the others. */
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
        return watch(cluster, Safeguards.ALL);
    }

    private static KeyMonitor watch(final NodeCluster cluster, final Safeguards safeguards) {
        return new KeyMonitor(cluster, DEADLINE, new KeyAcceptance(DEADLINE, safeguards));
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
    void connectedGatewaysAlwaysAcceptKeysEvenWhileConfigurationsChange() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(100 + seed);
            final KeyMonitor keys = watch(cluster);
            for (int number = 2; number < 12; number++) {
                acknowledge(cluster, cluster.controllers(), number, 5 * SECOND);
            }
            cluster.advance(20 * SECOND);
            assertThat("seed " + seed, keys.drainLongestRejectionMicros(), is(0L));
            assertThat(keys.violations(), empty());
        }
    }

    /** Injects a fault, submits configurations that revoke keys through the other controllers for ten seconds, and ends the fault. */
    private static void revokeKeysDuringFault(
            final NodeCluster cluster, final Fault fault, final List<String> side, final long number) {
        fault.inject(cluster, side, allBut(cluster, side));
        final List<String> through =
                cluster.controllers().stream().filter(c -> !side.contains(c)).toList();
        long next = number;
        final long end = cluster.now() + 10 * SECOND;
        while (cluster.now() < end) {
            next++;
            acknowledge(cluster, through, next, 8 * SECOND);
        }
        cluster.links().heal();
        side.forEach(cluster::thaw);
    }

    private static void assertNoRevokedKeyIsAccepted(final Fault fault, final long seed, final List<String> side) {
        final NodeCluster cluster = cluster(seed);
        final KeyMonitor keys = watch(cluster);
        cluster.advance(seed % 7 * 60_000);
        revokeKeysDuringFault(cluster, fault, side, 1);
        final String what = fault + " of " + side + " seed " + seed;
        assertThat(what, cluster.advanceUntil(5 * SECOND, keys::areAllAccepting), greaterThanOrEqualTo(0L));
        cluster.advance(2 * SECOND);
        assertThat(what, keys.violations(), empty());
        assertThat(what, cluster.violations(), empty());
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void isolatedGatewaysAcceptNoRevokedKeys(final Fault fault) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertNoRevokedKeyIsAccepted(fault, 200 + seed, List.of("g0", "g2"));
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void gatewaysNextToAnIsolatedControllerAcceptNoRevokedKeys(final Fault fault) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertNoRevokedKeyIsAccepted(fault, 300 + seed, List.of("c" + seed % 3, "g0", "g2"));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"CUT", "DEAF", "MUTE"})
    void withoutTheRevocationLeaseIsolatedGatewaysAcceptRevokedKeys(final Fault fault) {
        final NodeCluster cluster = cluster(200);
        final KeyMonitor keys = watch(cluster, WITHOUT_LEASE);
        revokeKeysDuringFault(cluster, fault, List.of("g0", "g2"), 1);
        assertThat(keys.violations(), not(empty()));
    }

    @Test
    void withoutTheRevocationLeaseSavedConfigurationsAcceptRevokedKeys() {
        final NodeCluster cluster = cluster(500);
        final KeyMonitor keys = watch(cluster, WITHOUT_LEASE);
        cluster.powerOff("g0");
        acknowledge(cluster, cluster.controllers(), 2, 8 * SECOND);
        cluster.advance(DEADLINE);
        machines(cluster).forEach(cluster::powerOff);
        cluster.start("g0", seeds(cluster));
        cluster.advance(SECOND);
        assertThat(keys.violations(), not(empty()));
    }

    /** The first two gateways can reach only gateways that are in contact with controllers, and later no machine at all. */
    @Test
    void gatewaysThatReachOnlyGatewaysAcceptNoRevokedKeys() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(400 + seed);
            final KeyMonitor keys = watch(cluster);
            cluster.links().partition(List.of("g0", "g1"), cluster.controllers());
            cluster.advance(seed * SECOND);
            for (int number = 2; number < 7; number++) {
                acknowledge(cluster, cluster.controllers(), number, 5 * SECOND);
            }
            cluster.links().partition(List.of("g0", "g1"), List.of("g2", "g3"));
            for (int number = 7; number < 15; number++) {
                acknowledge(cluster, cluster.controllers(), number, 5 * SECOND);
            }
            assertThat(keys.isAccepting("g0") || keys.isAccepting("g1"), is(false));
            assertThat(keys.violations(), empty());
            assertThat(cluster.violations(), empty());
        }
    }

    /** The machines that restart first have outdated configurations, some of them on disk: the keys were revoked while they had no power. */
    @Test
    void machinesRestartedWithSavedConfigurationsAcceptNoRevokedKeys() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(500 + seed);
            final KeyMonitor keys = watch(cluster);
            final String old = addressAt(cluster, seed % 3);
            final List<String> side = List.of(old, "g0", "g2");
            side.forEach(cluster::powerOff);
            acknowledge(cluster, others(cluster, old), 2, 8 * SECOND);
            cluster.advance(DEADLINE - seed * SECOND);
            machines(cluster).forEach(cluster::powerOff);
            cluster.advance(SECOND);
            side.forEach(name -> cluster.start(name, seeds(cluster)));
            for (long passed = 0; passed < 10 * SECOND; passed += SECOND / 10) {
                cluster.advance(SECOND / 10);
                assertThat(keys.isAccepting("g0") || keys.isAccepting("g2"), is(false));
            }
            allBut(cluster, side).forEach(name -> cluster.start(name, seeds(cluster)));
            assertThat(cluster.advanceUntil(5 * SECOND, keys::areAllAccepting), greaterThanOrEqualTo(0L));
            assertThat(cluster.servedRevision("g0"), is(2L));
            assertThat(keys.violations(), empty());
        }
    }

    @Test
    void wallClockStepsNeitherExtendNorEndALease() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(600 + seed);
            final KeyMonitor keys = watch(cluster);
            final long by = (seed % 2 == 0 ? 1 : -1) * (seed + 1) * 7 * SECOND;
            List.of("c0", "g0", "g1").forEach(name -> cluster.stepWallClock(name, by));
            cluster.advance(5 * SECOND);
            assertThat(keys.drainLongestRejectionMicros(), is(0L));
            cluster.links().partition(List.of("g0"), allBut(cluster, List.of("g0")));
            for (int number = 2; number < 12; number++) {
                acknowledge(cluster, cluster.controllers(), number, 5 * SECOND);
            }
            assertThat(keys.isAccepting("g0"), is(false));
            assertThat(keys.violations(), empty());
        }
    }

    @Test
    void gatewayStartedLateAcceptsKeysOnlyByTheNewestConfiguration() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(700 + seed);
            final KeyMonitor keys = watch(cluster);
            cluster.powerOff("g0");
            acknowledge(cluster, cluster.controllers(), 2, 5 * SECOND);
            cluster.advance(DEADLINE);
            cluster.start("g0", seeds(cluster));
            assertThat(
                    cluster.advanceUntil(SECOND, () -> keys.isAccepting("g0")),
                    is(both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(SECOND / 2))));
            assertThat(keys.violations(), empty());
        }
    }

    @Test
    void shortPartitionRejectsKeysForLittleMoreThanItsDurationMinusTheLease() {
        final long cut = 6 * SECOND;
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(800 + seed);
            final KeyMonitor keys = watch(cluster);
            cluster.advance(seed * 150_000);
            final List<String> side = List.of("c0", "g0", "g3");
            cluster.links().partition(side, allBut(cluster, side));
            cluster.advance(cut);
            cluster.links().heal();
            assertThat(cluster.advanceUntil(SECOND, keys::areAllAccepting), greaterThanOrEqualTo(0L));
            cluster.advance(5 * SECOND);
            assertThat(keys.drainLongestRejectionMicros(), lessThanOrEqualTo(cut - LEASE + SECOND));
        }
    }

    @Test
    void afterAFullOutageKeysAreAcceptedSoonAfterControllersAreUp() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final NodeCluster cluster = cluster(900 + seed);
            final KeyMonitor keys = watch(cluster);
            machines(cluster).forEach(cluster::powerOff);
            cluster.advance(2 * SECOND);
            cluster.gateways().forEach(name -> cluster.start(name, seeds(cluster)));
            cluster.advance(SECOND + seed * 170_000);
            cluster.controllers().forEach(name -> cluster.start(name, cluster.controllers()));
            assertThat(
                    cluster.advanceUntil(5 * SECOND, keys::areAllAccepting),
                    is(both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(SECOND / 4))));
        }
    }
}
