package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
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
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.replication.Replica;

/**
 * Guards against split brain: a controller that loses contact with the majority for twenty seconds must neither acknowledge commands
 * nor serve stale reads, while gateways keep following the others. The test runs complete nodes on a simulated clock.
 */
final class PartitionTest {
    /** How a controller loses contact with the other controllers; gateways can reach both sides. */
    enum Fault {
        CUT,
        DEAF,
        MUTE,
        FROZEN,
        SLOWED,
        RESET
    }

    private static void injectFault(final NodeCluster cluster, final Fault fault, final String victim) {
        final List<String> others = others(cluster, victim);
        switch (fault) {
            case CUT -> cluster.links().partition(List.of(victim), others);
            case DEAF -> cluster.links().partitionOneWay(others, List.of(victim));
            case MUTE -> cluster.links().partitionOneWay(List.of(victim), others);
            case FROZEN -> cluster.freeze(victim);
            case SLOWED -> cluster.links().slow(victim, 2 * SECOND);
            case RESET -> cluster.resetConnections(victim);
        }
    }

    private static void continueFault(final NodeCluster cluster, final Fault fault, final String victim) {
        if (fault == Fault.RESET) {
            cluster.resetConnections(victim);
        }
    }

    private static void assertUnanswered(final List<PendingCommand> commands) {
        assertThat(
                commands.stream()
                        .filter(command -> command.isAcknowledged() || command.isRejected())
                        .toList(),
                empty());
    }

    private static void assertAllRead(final NodeCluster cluster, final Optional<Long> expected) {
        for (final String controller : cluster.controllers()) {
            assertThat(controller, cluster.read(controller), is(expected));
        }
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
        final List<PendingCommand> sentToVictim = new ArrayList<>();
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
        assertUnanswered(sentToVictim);
        if (fault == Fault.CUT || fault == Fault.DEAF) {
            assertThat(cluster.read(victim), is(Optional.empty()));
        }
        cluster.links().heal();
        cluster.thaw(victim);
        cluster.advance(15 * SECOND);
        final Optional<Long> read = cluster.read(victim);
        assertThat(read.orElse(0L), both(greaterThanOrEqualTo(last)).and(lessThanOrEqualTo(number)));
        assertAllRead(cluster, read);
        assertThat(cluster.violations(), empty());
    }

    @Test
    void controllerReachedOnlyByItsClientsDecidesNothing() {
        for (int position = 0; position < 3; position++) {
            final NodeCluster cluster = new NodeCluster(3, 2, 21 + position);
            acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
            cluster.advance(SECOND);
            final String victim = addressAt(cluster, position);
            final List<String> rest = new ArrayList<>(others(cluster, victim));
            rest.addAll(cluster.gateways());
            cluster.links().partition(List.of(victim), rest);
            final long end = cluster.now() + OUTAGE;
            cluster.advance(SECOND);
            acknowledge(cluster, others(cluster, victim), 2, 8 * SECOND);
            final List<PendingCommand> sentToVictim = new ArrayList<>();
            while (cluster.now() < end) {
                sentToVictim.add(cluster.put(victim, 3, 2));
                sentToVictim.add(cluster.put(victim, 3, 0));
                sentToVictim.add(cluster.put(victim, 1, 1));
                assertThat(cluster.read(victim), is(Optional.empty()));
            }
            assertUnanswered(sentToVictim);
            cluster.links().heal();
            cluster.advance(10 * SECOND);
            assertThat(cluster.read(victim), is(Optional.of(2L)));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void commandHeldByAPartitionedHeadOnlyIsNeverServedEvenAfterItsRestart() {
        final NodeCluster cluster = new NodeCluster(3, 3, 3);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final String head = addressAt(cluster, 0);
        cluster.links().partition(List.of(head), others(cluster, head));
        final PendingCommand lost = cluster.put(head, 77, -1);
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
        cluster.links().heal();
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
            cluster.links().partition(List.of(victim), others(cluster, victim));
            cluster.advance(5 * SECOND);
            final PendingCommand sentToVictim = cluster.put(victim, 2, 1);
            cluster.advance(i * 70_000L);
            cluster.links().heal();
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
            cluster.links().partition(List.of(tail), rest);
            acknowledge(cluster, others(cluster, tail), 2, 8 * SECOND);
            final List<Object> answers = cluster.startRead(tail);
            cluster.thaw(tail);
            cluster.advance(SECOND);
            assertThat(Configurations.numberRead(answers), is(Optional.empty()));
            assertThat(cluster.violations(), empty());
        }
    }

    @Test
    void memberThatMissesCommitNoticesDoesNotConfirmItsState() {
        final NodeCluster cluster = new NodeCluster(3, 2, 18);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(SECOND);
        cluster.links().partitionOneWay(List.of(addressAt(cluster, 2)), List.of(addressAt(cluster, 1)));
        final PendingCommand command = cluster.put(addressAt(cluster, 0), 2, 1);
        cluster.advance(500_000);
        assertThat(command.isAcknowledged(), is(true));
        cluster.advance(5 * SECOND);
        assertThat(cluster.violations(), empty());
    }

    @Test
    void controllerThatLostItsDiskNeitherBootstrapsNorServesAFleet() {
        final NodeCluster cluster = new NodeCluster(3, 3, 14);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final long fleet = cluster.node("c1").view().fleet();
        final String victim = addressAt(cluster, 1);
        cluster.kill(victim);
        cluster.wipeDisk(victim);
        cluster.links().partition(List.of(victim), others(cluster, victim));
        cluster.start(victim, cluster.controllers());
        cluster.advance(OUTAGE);
        assertThat(cluster.node(victim).chainReplica().orElseThrow().view().number(), is(0L));
        final PendingCommand command = cluster.put(victim, 2, -1);
        cluster.advance(SECOND);
        assertThat(command.isAcknowledged() || command.isRejected(), is(false));
        cluster.links().heal();
        cluster.advance(20 * SECOND);
        assertThat(cluster.node(victim).view().fleet(), is(fleet));
        assertThat(
                cluster.node("c0").view().chain().stream().map(Replica::address).toList(),
                is(cluster.node(victim).view().chain().stream()
                        .map(Replica::address)
                        .toList()));
        assertThat(cluster.read(victim), is(Optional.of(1L)));
    }
}
