package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static silverlatch.node.NodeCluster.SECOND;
import static silverlatch.node.UsageCluster.WINDOW;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import silverlatch.state.Value;

/**
 * Guards against usage windows that are lost, reported twice with different counts, or reported late when gateways, owners or provider calls
 * fail. The test runs complete nodes on a simulated clock, from the gateways through the chain to the provider.
 */
final class UsageReportingTest {
    private static final long UNIX_OFFSET = 1_700_000_000_000_000L;

    /** Returns a cluster that has already reported its first windows, at the beginning of the next window. */
    private static UsageCluster startReporting(final int controllers, final int gateways, final long seed) {
        final UsageCluster cluster = new UsageCluster(controllers, gateways, seed);
        cluster.advance(3 * WINDOW);
        while (cluster.unixMicros() % WINDOW > 50_000) {
            cluster.advance(20_000);
        }
        assertThat(cluster.provider().reports().isEmpty(), is(false));
        return cluster;
    }

    private static List<String> others(final UsageCluster cluster, final String one) {
        final List<String> others = new ArrayList<>(ClusterSteps.others(cluster.nodes(), one));
        others.addAll(cluster.nodes().gateways());
        return others;
    }

    private static Map<String, Long> reported(final UsageCluster cluster, final long window) {
        final Map<String, Long> counts = new TreeMap<>();
        cluster.provider()
                .reports()
                .getOrDefault(window, List.of())
                .forEach(count -> counts.put(count.tenant(), count.requests()));
        return counts;
    }

    private static long sum(final Map<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    private static void assertExact(final UsageCluster cluster, final long from, final long until) {
        assertThat(cluster.missing(from, until), is(empty()));
        for (long window = from; window < until; window++) {
            assertThat(
                    "window " + window,
                    reported(cluster, window),
                    is(cluster.counted().get(window)));
        }
        assertThat(cluster.provider().violations(), is(empty()));
    }

    private static void assertInTime(final UsageCluster cluster, final long from, final long until) {
        for (long window = from; window < until; window++) {
            final long due = (window + 1) * WINDOW + UsageCluster.DELAY - UNIX_OFFSET;
            assertThat("window " + window, cluster.provider().acceptedAt(window), is(lessThanOrEqualTo(due)));
        }
    }

    @Test
    void withoutFaultsEachWindowIsReportedOnceWithExactCountsSoonAfterItsEnd() {
        final UsageCluster cluster = startReporting(3, 4, 1);
        final long from = cluster.currentWindow();
        final int calls = cluster.provider().calls();
        cluster.advance(10 * WINDOW + 2 * SECOND);
        assertExact(cluster, from, from + 10);
        assertThat("no repeats", cluster.provider().calls() - calls, is(lessThanOrEqualTo(11)));
        for (long window = from; window < from + 10; window++) {
            final long end = (window + 1) * WINDOW - UNIX_OFFSET;
            assertThat(cluster.provider().acceptedAt(window) - end, is(lessThanOrEqualTo(2 * SECOND)));
        }
    }

    @Test
    void ownerKilledRightAfterACallIsReplacedInTimeAndCountsStayTheSame() {
        for (int seed = 0; seed < 6; seed++) {
            final UsageCluster cluster = startReporting(3, 4, 10 + seed);
            final long from = cluster.currentWindow();
            final String victim = cluster.awaitProviderCall();
            cluster.advance(seed * 20_000L);
            cluster.kill(victim);
            cluster.advance(3 * SECOND + seed * 400_000L);
            cluster.start(victim);
            cluster.advance(6 * WINDOW);
            assertThat(cluster.provider().lastHolder().orElseThrow(), is(not(victim)));
            assertExact(cluster, from, from + 4);
            assertInTime(cluster, from, from + 4);
        }
    }

    @Test
    void pausedOwnerThatResumesWithACallInFlightChangesNothing() {
        for (int seed = 0; seed < 6; seed++) {
            final UsageCluster cluster = startReporting(3, 4, 30 + seed);
            final long from = cluster.currentWindow();
            final String victim = cluster.owner();
            cluster.advance(WINDOW + seed * 200_000L);
            cluster.freeze(victim);
            cluster.advance(8 * SECOND);
            cluster.thaw(victim);
            cluster.advance(4 * WINDOW);
            assertThat(cluster.provider().lastHolder().orElseThrow(), is(not(victim)));
            assertExact(cluster, from, from + 4);
        }
    }

    @Test
    void ownerIsolatedFromItsPeersButNotFromTheProviderMakesNoMoreCalls() {
        for (int seed = 0; seed < 4; seed++) {
            final UsageCluster cluster = startReporting(3, 4, 50 + seed);
            final long from = cluster.currentWindow();
            final String victim = cluster.owner();
            cluster.advance(seed * SECOND);
            if (seed % 2 == 0) {
                cluster.nodes().links().partition(List.of(victim), others(cluster, victim));
            } else {
                cluster.nodes().links().partitionOneWay(List.of(victim), others(cluster, victim));
            }
            cluster.advance(4 * WINDOW);
            assertThat(cluster.provider().lastHolder().orElseThrow(), is(not(victim)));
            cluster.nodes().links().heal();
            cluster.advance(3 * WINDOW);
            assertExact(cluster, from, from + 5);
            assertInTime(cluster, from, from + 5);
        }
    }

    @Test
    void windowIsEventuallyReportedAfterCallsToTheProviderWereLost() {
        final UsageCluster cluster = startReporting(3, 3, 70);
        final long from = cluster.currentWindow();
        cluster.setCallLossPercent(60);
        cluster.advance(4 * WINDOW);
        cluster.kill(cluster.owner());
        cluster.advance(2 * WINDOW);
        cluster.setCallLossPercent(0);
        cluster.advance(4 * WINDOW);
        assertExact(cluster, from, from + 8);
    }

    @Test
    void usageOfAGatewayIsolatedAtTheEndOfAWindowIsReported() {
        final UsageCluster cluster = startReporting(3, 4, 80);
        final long from = cluster.currentWindow();
        cluster.advance(2 * SECOND);
        cluster.nodes().links().partition(List.of("g0"), others(cluster, "g0"));
        cluster.advance(6 * SECOND);
        cluster.nodes().links().heal();
        cluster.advance(4 * WINDOW);
        assertExact(cluster, from, from + 3);
        assertInTime(cluster, from, from + 3);
    }

    @Test
    void killedGatewayLosesOnlyTheCountsOfItsLastSecondAndMayRestartInTheSameWindow() {
        final UsageCluster cluster = startReporting(3, 4, 90);
        final long from = cluster.currentWindow();
        cluster.advance(2 * SECOND);
        cluster.kill("g0");
        cluster.advance(SECOND);
        cluster.start("g0");
        cluster.advance(5 * WINDOW);
        final long lost = sum(cluster.counted().get(from)) - sum(reported(cluster, from));
        assertThat("the gateway starts about ten requests a second", lost, is(lessThanOrEqualTo(20L)));
        assertThat(lost, is(greaterThanOrEqualTo(0L)));
        assertExact(cluster, from + 1, from + 3);
        assertInTime(cluster, from, from + 3);
    }

    @Test
    void gracefullyStoppedGatewayLosesNoCounts() {
        final UsageCluster cluster = startReporting(3, 4, 95);
        final long from = cluster.currentWindow();
        cluster.advance(2 * SECOND);
        cluster.nodes().node("g0").leave(cluster.nodes().now());
        cluster.nodes().advance(100_000);
        cluster.kill("g0");
        cluster.advance(4 * WINDOW);
        assertExact(cluster, from, from + 3);
    }

    @Test
    void windowsAreClosedOnlyAfterTheMajorityReturns() {
        final UsageCluster cluster = startReporting(3, 3, 100);
        final long from = cluster.currentWindow();
        cluster.kill("c1");
        cluster.kill("c2");
        cluster.advance(6 * WINDOW);
        cluster.start("c1");
        cluster.start("c2");
        cluster.advance(5 * WINDOW);
        assertExact(cluster, from, from + 8);
    }

    /** Owners are killed, paused, isolated and restarted at random times, also several of them within one lease. */
    @Test
    void providerSeesOneHolderPerTokenAndOneReportPerWindowUnderRandomFaults() {
        for (int seed = 0; seed < 12; seed++) {
            final UsageCluster cluster = startReporting(5, 3, 200 + seed);
            final SplittableRandom random = new SplittableRandom(seed);
            final long from = cluster.currentWindow();
            cluster.setCallLossPercent(20);
            for (int fault = 0; fault < 8; fault++) {
                injectOwnerFault(cluster, random);
            }
            cluster.setCallLossPercent(0);
            final long until = cluster.currentWindow();
            cluster.advance(5 * WINDOW);
            assertThat("seed " + seed, cluster.provider().violations(), is(empty()));
            assertThat("seed " + seed, cluster.missing(from, until), is(empty()));
            cluster.provider().reports().forEach((window, counts) -> assertNotMoreThanCounted(cluster, window, counts));
        }
    }

    private static void assertNotMoreThanCounted(
            final UsageCluster cluster, final long window, final List<Value.TenantCount> counts) {
        counts.forEach(count -> assertThat(
                "window " + window,
                count.requests(),
                is(lessThanOrEqualTo(cluster.counted().get(window).get(count.tenant())))));
    }

    private static void injectOwnerFault(final UsageCluster cluster, final SplittableRandom random) {
        final String owner = cluster.owner();
        final long duration = random.nextLong(4 * SECOND);
        switch (random.nextInt(4)) {
            case 0 -> {
                cluster.kill(owner);
                cluster.advance(duration);
                cluster.start(owner);
            }
            case 1 -> {
                cluster.freeze(owner);
                cluster.advance(duration);
                cluster.thaw(owner);
            }
            case 2 -> {
                cluster.nodes().links().partition(List.of(owner), others(cluster, owner));
                cluster.advance(duration);
                cluster.nodes().links().heal();
            }
            default -> {
                cluster.awaitProviderCall();
                cluster.nodes().links().partitionOneWay(others(cluster, owner), List.of(owner));
                cluster.advance(duration);
                cluster.nodes().links().heal();
            }
        }
        cluster.advance(random.nextLong(5 * SECOND));
    }
}
