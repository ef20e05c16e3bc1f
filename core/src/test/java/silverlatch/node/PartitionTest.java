package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.gossip.Worker;
import silverlatch.replication.Replica;

/** A controller that loses contact with the majority for twenty seconds, whole nodes on a simulated clock. */
final class PartitionTest {
    private static final long SECOND = NodeCluster.SECOND;
    private static final long OUTAGE = 20 * SECOND;
    /** A gateway in touch follows a configuration that was acknowledged so long ago. */
    private static final long PROPAGATION_LIMIT = 3 * SECOND;

    /** How a controller loses its contact with the other controllers; gateways reach both sides. */
    enum Fault {
        CUT,
        DEAF,
        MUTE,
        FROZEN,
        SLOWED,
        RESET
    }

    private static String addressAt(final NodeCluster cluster, final int position) {
        return cluster.node("c0").view().chain().get(position).address();
    }

    private static List<String> others(final NodeCluster cluster, final String one) {
        return cluster.controllers().stream().filter(c -> !c.equals(one)).toList();
    }

    private static void injectFault(final NodeCluster cluster, final Fault fault, final String victim) {
        final List<String> others = others(cluster, victim);
        switch (fault) {
            case CUT -> cluster.partition(List.of(victim), others);
            case DEAF -> cluster.partitionOneWay(others, List.of(victim));
            case MUTE -> cluster.partitionOneWay(List.of(victim), others);
            case FROZEN -> cluster.freeze(victim);
            case SLOWED -> cluster.slow(victim, 2 * SECOND);
            case RESET -> cluster.resetConnections(victim);
        }
    }

    private static void continueFault(final NodeCluster cluster, final Fault fault, final String victim) {
        if (fault == Fault.RESET) {
            cluster.resetConnections(victim);
        }
    }

    private static long acknowledge(
            final NodeCluster cluster, final List<String> through, final long number, final long limit) {
        final long from = cluster.now();
        while (cluster.now() - from <= limit) {
            for (final String controller : through) {
                final NodeCluster.PendingCommand pending = cluster.put(controller, number, -1);
                cluster.advance(NodeCluster.COMMAND_TIMEOUT + 100_000);
                if (pending.isAcknowledged()) {
                    return pending.endedAt();
                }
            }
        }
        throw new AssertionError(number + " was not acknowledged");
    }

    private static boolean allServe(final NodeCluster cluster, final long number) {
        return cluster.gateways().stream().allMatch(g -> cluster.servedRevision(g) >= number);
    }

    @ParameterizedTest
    @CsvSource({
        "CUT,0",
        "CUT,1",
        "CUT,2",
        "DEAF,0",
        "DEAF,1",
        "DEAF,2",
        "MUTE,0",
        "MUTE,1",
        "MUTE,2",
        "FROZEN,0",
        "FROZEN,1",
        "FROZEN,2",
        "SLOWED,0",
        "SLOWED,1",
        "SLOWED,2",
        "RESET,0",
        "RESET,1",
        "RESET,2"
    })
    void controllerWithoutMajorityDecidesNothingAndGatewaysFollowTheOthers(final Fault fault, final int position) {
        final NodeCluster cluster = new NodeCluster(3, 4, 7 + position);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        assertThat(cluster.advanceUntil(PROPAGATION_LIMIT, () -> allServe(cluster, 1)), greaterThanOrEqualTo(0L));
        final String victim = addressAt(cluster, position);
        injectFault(cluster, fault, victim);
        final long end = cluster.now() + OUTAGE;
        final List<NodeCluster.PendingCommand> sentToVictim = new ArrayList<>();
        long number = 1;
        long last = 1;
        while (cluster.now() < end) {
            number++;
            final long acknowledged = acknowledge(cluster, others(cluster, victim), number, 8 * SECOND);
            final long wanted = number;
            if (fault != Fault.RESET && cluster.now() - end + OUTAGE > 2 * SECOND) {
                sentToVictim.add(cluster.put(victim, ++number, wanted));
                sentToVictim.add(cluster.put(victim, ++number, 1));
            }
            cluster.advanceUntil(PROPAGATION_LIMIT, () -> allServe(cluster, wanted));
            assertThat(allServe(cluster, wanted), is(true));
            assertThat(cluster.now() - acknowledged, lessThanOrEqualTo(PROPAGATION_LIMIT));
            continueFault(cluster, fault, victim);
            cluster.advance(SECOND);
            cluster.gateways().forEach(g -> assertThat(g, cluster.stateAge(g), lessThanOrEqualTo(PROPAGATION_LIMIT)));
            last = wanted;
        }
        assertThat(
                sentToVictim.stream()
                        .filter(o -> o.isAcknowledged() || o.isRejected())
                        .toList(),
                empty());
        if (fault == Fault.CUT || fault == Fault.DEAF) {
            assertThat(cluster.read(victim), is(Optional.empty()));
        }
        cluster.heal();
        cluster.thaw(victim);
        cluster.advance(15 * SECOND);
        final Optional<Long> read = cluster.read(victim);
        assertThat(read.orElse(0L), both(greaterThanOrEqualTo(last)).and(lessThanOrEqualTo(number)));
        for (final String controller : cluster.controllers()) {
            assertThat(controller, cluster.read(controller), is(read));
        }
        assertThat(cluster.violations(), empty());
    }

    @Test
    void controllerReachedByItsClientsOnlyDecidesNothing() {
        for (int position = 0; position < 3; position++) {
            final NodeCluster cluster = new NodeCluster(3, 2, 21 + position);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            cluster.advance(SECOND);
            final String victim = addressAt(cluster, position);
            final List<String> rest = new ArrayList<>(others(cluster, victim));
            rest.addAll(cluster.gateways());
            cluster.partition(List.of(victim), rest);
            final long end = cluster.now() + OUTAGE;
            cluster.advance(SECOND);
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            final List<NodeCluster.PendingCommand> sentToVictim = new ArrayList<>();
            while (cluster.now() < end) {
                sentToVictim.add(cluster.put(victim, 3, 2));
                sentToVictim.add(cluster.put(victim, 3, 0));
                sentToVictim.add(cluster.put(victim, 1, 1));
                assertThat(cluster.read(victim), is(Optional.empty()));
            }
            assertThat(
                    sentToVictim.stream()
                            .filter(o -> o.isAcknowledged() || o.isRejected())
                            .toList(),
                    empty());
            cluster.heal();
            cluster.advance(10 * SECOND);
            assertThat(cluster.read(victim), is(Optional.of(2L)));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void gatewayStartedBesideAPartitionedControllerServesNothingBeforeItHeardAMajority() {
        for (int position = 0; position < 3; position++) {
            final NodeCluster cluster = new NodeCluster(3, 3, 11 + position);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String victim = addressAt(cluster, position);
            final List<String> side = List.of(victim, "g0", "g1");
            final List<String> others = new ArrayList<>(others(cluster, victim));
            others.add("g2");
            cluster.partition(side, others);
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            cluster.kill("g0");
            cluster.advance(SECOND);
            cluster.start("g0", cluster.controllers());
            for (int i = 0; i < 100; i++) {
                cluster.advance(100_000);
                assertThat("at " + i, cluster.isReady("g0"), is(false));
            }
            assertThat(cluster.servedRevision("g1"), is(1L));
            cluster.heal();
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
            cluster.partition(List.of(victim), others(cluster, victim));
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
    void commandHeldByAPartitionedHeadOnlyIsNeverServedEvenAfterItsRestart() {
        final NodeCluster cluster = new NodeCluster(3, 3, 3);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final String head = addressAt(cluster, 0);
        cluster.partition(List.of(head), others(cluster, head));
        final NodeCluster.PendingCommand lost = cluster.put(head, 77, -1);
        cluster.advance(2 * SECOND);
        assertThat(lost.isAcknowledged() || lost.isRejected(), is(false));
        cluster.kill(head);
        cluster.start(head, cluster.controllers());
        final List<Long> seen = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            cluster.advance(100_000);
            cluster.gateways().forEach(g -> seen.add(cluster.servedRevision(g)));
        }
        acknowledge(cluster, others(cluster, head), 2, 8 * SECOND);
        cluster.heal();
        for (int i = 0; i < 100; i++) {
            cluster.advance(100_000);
            cluster.gateways().forEach(g -> seen.add(cluster.servedRevision(g)));
        }
        assertThat(seen, everyItem(lessThanOrEqualTo(2L)));
        assertThat(cluster.read(head), is(Optional.of(2L)));
    }

    @Test
    void commandInFlightWhenThePartitionHealsIsEitherCommittedOrUnanswered() {
        for (int i = 0; i < 12; i++) {
            final NodeCluster cluster = new NodeCluster(3, 2, 60 + i);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String victim = addressAt(cluster, i % 3);
            cluster.partition(List.of(victim), others(cluster, victim));
            cluster.advance(5 * SECOND);
            final NodeCluster.PendingCommand sentToVictim = cluster.put(victim, 2, 1);
            cluster.advance(i * 70_000L);
            cluster.heal();
            cluster.advance(10 * SECOND);
            final long read = cluster.read("c0").orElseThrow();
            assertThat(sentToVictim.isRejected(), is(false));
            assertThat(read, is(sentToVictim.isAcknowledged() ? 2L : read));
            assertThat(
                    sentToVictim.isAcknowledged() ? sentToVictim.endedAt() - sentToVictim.sentAt() : 0,
                    lessThanOrEqualTo(SECOND));
            cluster.gateways().forEach(g -> assertThat(cluster.servedRevision(g), is(read)));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void pausedGatewayFollowsWithinTheLimitOnceResumed() {
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
    void tailPausedInsideItsLeaseAnswersNoStaleRead() {
        for (int i = 0; i < 20; i++) {
            final NodeCluster cluster = new NodeCluster(3, 2, 80 + i);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String tail = addressAt(cluster, 2);
            cluster.advance(i * 20_000L);
            cluster.freeze(tail);
            acknowledge(cluster, others(cluster, tail), 2, 8 * SECOND);
            cluster.advance(OUTAGE);
            cluster.thaw(tail);
            for (int read = 0; read < 3; read++) {
                cluster.read(tail).ifPresent(n -> assertThat(n, is(2L)));
            }
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void tailResumedWithOldLeaseGrantsQueuedAnswersNoReadUnderThem() {
        for (int i = 0; i < 13; i++) {
            final NodeCluster cluster = new NodeCluster(3, 2, 100);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            final String tail = addressAt(cluster, 2);
            final List<String> rest = new ArrayList<>(others(cluster, tail));
            rest.addAll(cluster.gateways());
            cluster.advance(i * 10_000L);
            cluster.freeze(tail);
            cluster.advance(30_000);
            cluster.partition(List.of(tail), rest);
            acknowledge(cluster, others(cluster, tail), 2, 8 * SECOND);
            final List<Object> answers = cluster.startRead(tail);
            cluster.thaw(tail);
            cluster.advance(SECOND);
            assertThat(NodeCluster.readRevision(answers), is(Optional.empty()));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void memberThatMissesCommitNoticesDoesNotConfirmItsState() {
        final NodeCluster cluster = new NodeCluster(3, 2, 18);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(SECOND);
        cluster.partitionOneWay(List.of(addressAt(cluster, 2)), List.of(addressAt(cluster, 1)));
        final NodeCluster.PendingCommand order = cluster.put(addressAt(cluster, 0), 2, 1);
        cluster.advance(500_000);
        assertThat(order.isAcknowledged(), is(true));
        cluster.advance(5 * SECOND);
        assertThat(cluster.violations(), empty());
    }

    private static Worker worker(final long sequence, final boolean isDraining) {
        return new Worker(
                "w", "10.0.0.9:1", "z0", "r0", 1, sequence, 3, 1, 8, List.of(4L), isDraining, 0, "pool", 0, 0);
    }

    private static boolean isDraining(final NodeCluster cluster, final String gateway) {
        return Optional.ofNullable(cluster.node(gateway).gossip().workers().get("w"))
                .map(h -> h.worker().draining())
                .orElse(false);
    }

    @Test
    void workerDrainedAtThePartitionedSideIsKnownToAllOnceItHeals() {
        final NodeCluster cluster = new NodeCluster(3, 4, 9);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.announceWorker("c1", worker(1, false));
        cluster.advance(2 * SECOND);
        cluster.partition(List.of("c0", "g0"), List.of("c1", "c2", "g1", "g2", "g3"));
        cluster.advance(SECOND);
        cluster.announceWorker("c0", worker(2, true));
        assertThat(cluster.advanceUntil(SECOND, () -> isDraining(cluster, "g0")), greaterThanOrEqualTo(0L));
        cluster.advance(OUTAGE);
        cluster.heal();
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
        cluster.partition(List.of("c0"), List.of("c1", "c2"));
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
        cluster.partition(small, large);
        small.forEach(n -> cluster.node(n).membership().setSeeds(List.of("c0")));
        large.forEach(n -> cluster.node(n).membership().setSeeds(List.of("c1", "c2")));
        cluster.advance(OUTAGE);
        cluster.announceWorker("c1", worker(1, false));
        cluster.announceWorker("c1", worker(2, true));
        acknowledge(cluster, List.of("c1", "c2"), 2, 8 * SECOND);
        cluster.heal();
        assertThat(cluster.advanceUntil(PROPAGATION_LIMIT, () -> allServe(cluster, 2)), greaterThanOrEqualTo(0L));
        assertThat(
                cluster.advanceUntil(
                        PROPAGATION_LIMIT, () -> cluster.gateways().stream().allMatch(g -> isDraining(cluster, g))),
                greaterThanOrEqualTo(0L));
    }

    @Test
    void machinesRestartedWithSeedsOnTheOtherSideServeTheNewestOnceThePartitionHeals() {
        final NodeCluster cluster = new NodeCluster(3, 4, 13);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final List<String> small = List.of("c0", "g0", "g1");
        final List<String> large = List.of("c1", "c2", "g2", "g3");
        cluster.partition(small, large);
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
        cluster.heal();
        assertThat(
                cluster.advanceUntil(PROPAGATION_LIMIT + SECOND, () -> allServe(cluster, 2)), greaterThanOrEqualTo(0L));
        assertThat(cluster.violations(), empty());
        assertThat(cluster.read("c0"), is(Optional.of(2L)));
    }

    @Test
    void controllerThatLostItsDiskNeitherFoundsNorServesAFleet() {
        final NodeCluster cluster = new NodeCluster(3, 3, 14);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final long fleet = cluster.node("c1").view().fleet();
        final String victim = addressAt(cluster, 1);
        cluster.kill(victim);
        cluster.wipeDisk(victim);
        cluster.partition(List.of(victim), others(cluster, victim));
        cluster.start(victim, cluster.controllers());
        cluster.advance(OUTAGE);
        assertThat(cluster.node(victim).chainReplica().orElseThrow().view().number(), is(0L));
        final NodeCluster.PendingCommand order = cluster.put(victim, 2, -1);
        cluster.advance(SECOND);
        assertThat(order.isAcknowledged() || order.isRejected(), is(false));
        cluster.heal();
        cluster.advance(20 * SECOND);
        assertThat(cluster.node(victim).view().fleet(), is(fleet));
        assertThat(
                cluster.node("c0").view().chain().stream().map(Replica::address).toList(),
                is(cluster.node(victim).view().chain().stream()
                        .map(Replica::address)
                        .toList()));
        assertThat(cluster.read(victim), is(Optional.of(1L)));
    }

    @Test
    void gatewaysFollowWhileEightCommandsAreInFlight() {
        final NodeCluster cluster = new NodeCluster(3, 4, 15);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final List<NodeCluster.PendingCommand> inFlight = new ArrayList<>();
        long number = 1;
        long acknowledged = 1;
        final java.util.Map<NodeCluster.PendingCommand, Long> numbers = new java.util.HashMap<>();
        final long end = cluster.now() + OUTAGE;
        final List<long[]> acknowledgements = new ArrayList<>();
        while (cluster.now() < end) {
            for (final NodeCluster.PendingCommand pending : List.copyOf(inFlight)) {
                if (pending.endedAt() > 0) {
                    inFlight.remove(pending);
                    if (pending.isAcknowledged()) {
                        acknowledgements.add(new long[] {pending.endedAt(), numbers.get(pending)});
                    }
                }
            }
            while (inFlight.size() < 8) {
                final NodeCluster.PendingCommand pending =
                        cluster.put(cluster.controllers().get((int) (number % 3)), ++number, -1);
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
