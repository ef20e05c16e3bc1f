package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static silverlatch.node.ClusterSteps.OUTAGE;
import static silverlatch.node.ClusterSteps.PROPAGATION_LIMIT;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
import static silverlatch.node.ClusterSteps.addressAt;
import static silverlatch.node.ClusterSteps.allServe;
import static silverlatch.node.ClusterSteps.others;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Worker;
import silverlatch.state.Command;

/**
 * Checks which configurations and worker reports gateways use, and how soon, during and after partitions, pauses and restarts.
 * The test runs complete nodes on a simulated clock.
 */
final class GatewayPropagationTest {
    private static Worker worker(final long sequence, final boolean isDraining) {
        return new Worker(
                "w", "10.0.0.9:1", "z0", "r0", 1, sequence, 3, 1, 8, List.of(4L), isDraining, 0, "pool", 0, 0);
    }

    private static boolean isDraining(final NodeCluster cluster, final String gateway) {
        return Optional.ofNullable(cluster.node(gateway).gossip().workers().get("w"))
                .map(observed -> observed.worker().draining())
                .orElse(false);
    }

    @Test
    void gatewayStartedNextToAnIsolatedControllerServesNothingUntilItReachesAMajority() {
        for (int position = 0; position < 3; position++) {
            final NodeCluster cluster = new NodeCluster(3, 3, 11 + position);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String victim = addressAt(cluster, position);
            final List<String> side = List.of(victim, "g0", "g1");
            final List<String> others = new ArrayList<>(others(cluster, victim));
            others.add("g2");
            cluster.links().partition(side, others);
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            cluster.kill("g0");
            cluster.advance(SECOND);
            cluster.start("g0", cluster.controllers());
            for (int i = 0; i < 100; i++) {
                cluster.advance(100_000);
                assertThat("at " + i, cluster.isReady("g0"), is(false));
            }
            assertThat(cluster.servedRevision("g1"), is(1L));
            cluster.links().heal();
            assertThat(cluster.advanceUntil(5 * SECOND, () -> cluster.isReady("g0")), greaterThanOrEqualTo(0L));
            assertThat(cluster.servedRevision("g0"), is(2L));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void gatewayStartedWithoutFaultsIsReadyWithin300Milliseconds() {
        final NodeCluster cluster = new NodeCluster(3, 4, 17);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(SECOND);
        for (int i = 0; i < 20; i++) {
            cluster.kill("g0");
            cluster.advance(500_000 + i * 70_000L);
            cluster.start("g0", cluster.controllers());
            final long took = cluster.advanceUntil(5 * SECOND, () -> cluster.isReady("g0"));
            assertThat(took, both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(300_000L)));
        }
    }

    @Test
    void gatewayThatReachesBothSidesStartsWithTheNewestRevision() {
        for (int seed = 0; seed < 12; seed++) {
            final NodeCluster cluster = new NodeCluster(3, 3, 40 + seed);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String victim = addressAt(cluster, seed % 3);
            cluster.links().partition(List.of(victim), others(cluster, victim));
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            cluster.kill("g0");
            cluster.advance(SECOND);
            final List<String> seeds = new ArrayList<>(List.of(victim));
            seeds.addAll(others(cluster, victim));
            cluster.start("g0", seeds);
            assertThat(cluster.advanceUntil(PROPAGATION_LIMIT, () -> cluster.isReady("g0")), greaterThanOrEqualTo(0L));
            assertThat(cluster.servedRevision("g0"), is(2L));
        }
    }

    @Test
    void gatewayRestartedDuringAPullIgnoresRepliesToItsPreviousProcess() {
        for (int i = 0; i < 12; i++) {
            final NodeCluster cluster = new NodeCluster(3, 3, 70);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            cluster.put("c1", evacuation());
            cluster.advance(2 * SECOND);
            cluster.links().slow("g2", 3 * SECOND);
            cluster.advance(2 * SECOND);
            cluster.kill("g2");
            cluster.links().heal();
            acknowledge(cluster, cluster.controllers(), 2, 5 * SECOND);
            cluster.advance(200_000 + i * 50_000L);
            cluster.start("g2", cluster.controllers());
            cluster.advance(5 * SECOND);
            assertThat(
                    "at " + i,
                    cluster.node("g2").gossip().stateMachine().policySince(0),
                    is(cluster.node("g1").gossip().stateMachine().policySince(0)));
        }
    }

    private static Command evacuation() {
        return new Command.SetEvacuation("evacuate", "z9", true, -1);
    }

    @Test
    void pausedGatewayCatchesUpWithinTheLimitAfterResuming() {
        final NodeCluster cluster = new NodeCluster(3, 3, 5);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(SECOND);
        cluster.freeze("g0");
        acknowledge(cluster, cluster.controllers(), 2, 5 * SECOND);
        cluster.advance(OUTAGE);
        cluster.thaw("g0");
        assertThat(
                cluster.advanceUntil(PROPAGATION_LIMIT, () -> cluster.servedRevision("g0") == 2),
                greaterThanOrEqualTo(0L));
        assertThat(cluster.violations(), empty());
    }

    @Test
    void drainReportedInAPartitionReachesAllGatewaysAfterItHeals() {
        final NodeCluster cluster = new NodeCluster(3, 4, 9);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.announceWorker("c1", worker(1, false));
        cluster.advance(2 * SECOND);
        cluster.links().partition(List.of("c0", "g0"), List.of("c1", "c2", "g1", "g2", "g3"));
        cluster.advance(SECOND);
        cluster.announceWorker("c0", worker(2, true));
        assertThat(cluster.advanceUntil(SECOND, () -> isDraining(cluster, "g0")), greaterThanOrEqualTo(0L));
        cluster.advance(OUTAGE);
        cluster.links().heal();
        assertThat(
                cluster.advanceUntil(
                        PROPAGATION_LIMIT, () -> cluster.gateways().stream().allMatch(g -> isDraining(cluster, g))),
                greaterThanOrEqualTo(0L));
    }

    @Test
    void drainReachesGatewaysConnectedToBothSides() {
        final NodeCluster cluster = new NodeCluster(3, 4, 10);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.announceWorker("c1", worker(1, false));
        cluster.advance(2 * SECOND);
        cluster.links().partition(List.of("c0"), List.of("c1", "c2"));
        cluster.advance(3 * SECOND);
        cluster.announceWorker("c0", worker(2, true));
        assertThat(
                cluster.advanceUntil(SECOND, () -> cluster.gateways().stream().allMatch(g -> isDraining(cluster, g))),
                greaterThanOrEqualTo(0L));
    }

    @Test
    void sidesWithSeedsOnTheirOwnSideOnlyReconnectWhenThePartitionHeals() {
        final NodeCluster cluster = new NodeCluster(3, 4, 12);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final List<String> small = List.of("c0", "g0", "g1");
        final List<String> large = List.of("c1", "c2", "g2", "g3");
        cluster.links().partition(small, large);
        small.forEach(n -> cluster.node(n).membership().setSeeds(List.of("c0")));
        large.forEach(n -> cluster.node(n).membership().setSeeds(List.of("c1", "c2")));
        cluster.advance(OUTAGE);
        cluster.announceWorker("c1", worker(1, false));
        cluster.announceWorker("c1", worker(2, true));
        acknowledge(cluster, List.of("c1", "c2"), 2, 8 * SECOND);
        cluster.links().heal();
        assertThat(cluster.advanceUntil(PROPAGATION_LIMIT, () -> allServe(cluster, 2)), greaterThanOrEqualTo(0L));
        assertThat(
                cluster.advanceUntil(
                        PROPAGATION_LIMIT, () -> cluster.gateways().stream().allMatch(g -> isDraining(cluster, g))),
                greaterThanOrEqualTo(0L));
    }

    @Test
    void machinesRestartedWithSeedsOnTheOtherSideServeTheNewestRevisionAfterThePartitionHeals() {
        final NodeCluster cluster = new NodeCluster(3, 4, 13);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final List<String> small = List.of("c0", "g0", "g1");
        final List<String> large = List.of("c1", "c2", "g2", "g3");
        cluster.links().partition(small, large);
        cluster.advance(3 * SECOND);
        for (final String name : List.of("c0", "g0")) {
            cluster.kill(name);
            cluster.start(name, List.of("c1", "c2"));
        }
        for (final String name : List.of("c1", "g2")) {
            cluster.kill(name);
            cluster.start(name, List.of("c0"));
        }
        acknowledge(cluster, List.of("c1", "c2"), 2, 10 * SECOND);
        cluster.advance(OUTAGE);
        cluster.links().heal();
        assertThat(
                cluster.advanceUntil(PROPAGATION_LIMIT + SECOND, () -> allServe(cluster, 2)), greaterThanOrEqualTo(0L));
        assertThat(cluster.violations(), empty());
        assertThat(cluster.read("c0"), is(Optional.of(2L)));
    }

    @Test
    void gatewaysFollowConfigurationsWhileEightCommandsAreInFlight() {
        final NodeCluster cluster = new NodeCluster(3, 4, 15);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final List<PendingCommand> inFlight = new ArrayList<>();
        long number = 1;
        long acknowledged = 1;
        final Map<PendingCommand, Long> numbers = new HashMap<>();
        final long end = cluster.now() + OUTAGE;
        final List<long[]> acknowledgements = new ArrayList<>();
        while (cluster.now() < end) {
            for (final PendingCommand pending : List.copyOf(inFlight)) {
                if (pending.endedAt() > 0) {
                    inFlight.remove(pending);
                    if (pending.isAcknowledged()) {
                        acknowledgements.add(new long[] {pending.endedAt(), numbers.get(pending)});
                    }
                }
            }
            while (inFlight.size() < 8) {
                final PendingCommand pending = cluster.put(cluster.controllers().get((int) (number % 3)), ++number, -1);
                numbers.put(pending, number);
                inFlight.add(pending);
            }
            cluster.advance(5_000);
            for (final long[] acknowledgement : acknowledgements) {
                if (cluster.now() - acknowledgement[0] > PROPAGATION_LIMIT) {
                    acknowledged = Math.max(acknowledged, acknowledgement[1]);
                }
            }
            for (final String gateway : cluster.gateways()) {
                assertThat(
                        gateway + " at " + cluster.now(),
                        cluster.servedRevision(gateway),
                        greaterThanOrEqualTo(acknowledged));
            }
        }
        assertThat(acknowledgements.size(), greaterThanOrEqualTo(100));
    }
}
