package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static silverlatch.node.ClusterSteps.PROPAGATION_LIMIT;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
import static silverlatch.node.ClusterSteps.addressAt;
import static silverlatch.node.ClusterSteps.others;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Guards against acknowledging a worker's drain (or deletion) that is then lost in a partition, so that gateways keep sending
 * it requests. A drain may be acknowledged only if every gateway in contact with a majority of the controllers learns of it in
 * time. The test runs complete nodes on a simulated clock.
 */
final class DrainAcknowledgementTest {
    private static final long MILLISECOND = 1_000L;

    /** The time within which the worker must receive the reply, in microseconds. */
    private static final long REPLY_LIMIT = 900 * MILLISECOND;

    private static Worker worker(final long sequence, final boolean isDraining) {
        return new Worker(
                "w", "10.0.0.9:1", "z0", "r0", 1, sequence, 3, 1, 8, List.of(4L), isDraining, 0, "pool", 0, 0);
    }

    /** Returns whether a gateway sends no more requests to the worker. */
    private static boolean avoidsWorker(final NodeCluster cluster, final String gateway) {
        return Optional.ofNullable(cluster.node(gateway).gossip().workers().get("w"))
                .map(Gossip.ObservedWorker::worker)
                .map(Worker::draining)
                .orElse(true);
    }

    private static NodeCluster cluster(final long seed, final Safeguards safeguards) {
        final NodeCluster cluster = new NodeCluster(3, 4, seed, safeguards);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.announceWorker("c1", worker(1, false));
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private static List<String> majoritySide(final NodeCluster cluster, final String victim) {
        final List<String> side = new ArrayList<>(others(cluster, victim));
        side.addAll(List.of("g1", "g2", "g3"));
        return side;
    }

    @Test
    void drainIsAcknowledgedInOneRoundTripWithoutFaults() {
        final NodeCluster cluster = cluster(21, Safeguards.ALL);
        cluster.announceWorker("c0", worker(2, true));
        final PendingConfirmation reply = cluster.confirmReport("c0", "w");
        cluster.advance(60 * MILLISECOND);
        assertThat(reply.isHeld(), is(true));
        cluster.announceWorker("c0", worker(3, true));
        final PendingConfirmation next = cluster.confirmReport("c0", "w");
        assertThat("a majority already holds the drain", next.isHeld(), is(true));
    }

    @Test
    void controllerWithoutMajorityAcknowledgesNoDrain() {
        for (int position = 0; position < 3; position++) {
            for (final Isolation isolation : Isolation.values()) {
                final NodeCluster cluster = cluster(30 + position, Safeguards.ALL);
                final String victim = addressAt(cluster, position);
                isolation.isolate(cluster, victim, others(cluster, victim));
                cluster.advance(20 * MILLISECOND);
                cluster.announceWorker(victim, worker(2, true));
                final PendingConfirmation reply = cluster.confirmReport(victim, "w");
                cluster.advance(REPLY_LIMIT);
                assertThat(isolation + " " + position, reply.isAnswered(), is(true));
                assertThat(isolation + " " + position, reply.isHeld(), is(false));
            }
        }
    }

    @Test
    void drainAcknowledgedBeforeAPartitionReachesAllGatewaysOfTheMajority() {
        assertThat(countAcknowledgedButMissed(Safeguards.ALL, false), is(0));
    }

    @Test
    void deletionAcknowledgedBeforeAPartitionReachesAllGatewaysOfTheMajority() {
        assertThat(countAcknowledgedButMissed(Safeguards.ALL, true), is(0));
    }

    @Test
    void withoutTheReportQuorumAnAcknowledgedDrainIsLost() {
        assertThat(countAcknowledgedButMissed(new Safeguards(Set.of(Safeguard.REPORT_QUORUM)), false), greaterThan(0));
    }

    /** Returns for how many delays of the partition the other side keeps using the worker although the drain was acknowledged. */
    private static int countAcknowledgedButMissed(final Safeguards safeguards, final boolean isDeleted) {
        int acknowledged = 0;
        int missed = 0;
        for (long delay = 0; delay <= 60 * MILLISECOND; delay += 4 * MILLISECOND) {
            final NodeCluster cluster = cluster(50 + delay, safeguards);
            final String victim = addressAt(cluster, (int) (delay / MILLISECOND % 3));
            if (isDeleted) {
                cluster.workerGone(victim, "w");
            } else {
                cluster.announceWorker(victim, worker(2, true));
            }
            final PendingConfirmation reply = cluster.confirmReport(victim, "w");
            cluster.advance(delay);
            cluster.links().partition(List.of(victim, "g0"), majoritySide(cluster, victim));
            cluster.advance(REPLY_LIMIT);
            assertThat("delay " + delay, reply.isAnswered(), is(true));
            assertThat(reply.endedAt() - reply.sentAt(), lessThanOrEqualTo(REPLY_LIMIT));
            if (reply.isHeld()) {
                acknowledged++;
                cluster.advance(PROPAGATION_LIMIT - REPLY_LIMIT);
                missed += List.of("g1", "g2", "g3").stream().allMatch(g -> avoidsWorker(cluster, g)) ? 0 : 1;
            }
        }
        assertThat("both outcomes occur", acknowledged, greaterThanOrEqualTo(1));
        return missed;
    }

    /** How a controller is isolated from the others. */
    private enum Isolation {
        BOTH_WAYS,
        RECEIVES_NOTHING,
        SENDS_NOTHING,
        SLOW;

        void isolate(final NodeCluster cluster, final String victim, final List<String> others) {
            switch (this) {
                case BOTH_WAYS -> cluster.links().partition(List.of(victim), others);
                case RECEIVES_NOTHING -> cluster.links().partitionOneWay(others, List.of(victim));
                case SENDS_NOTHING -> cluster.links().partitionOneWay(List.of(victim), others);
                case SLOW -> cluster.links().slow(victim, 2 * SECOND);
            }
        }
    }
}
