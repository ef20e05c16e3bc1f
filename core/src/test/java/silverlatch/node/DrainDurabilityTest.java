package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
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
 * Guards against forgetting an acknowledged drain or end of a worker when processes are killed, so that gateways send it requests
 * again. The test runs complete nodes with their disks on a simulated clock; a write that isn't synced yet is lost in a kill.
 */
final class DrainDurabilityTest {
    private static final long MILLISECOND = 1_000L;
    private static final long HEARTBEAT_INTERVAL = 1_200 * MILLISECOND;
    /** Longer than a round trip between two machines. */
    private static final long DISK_SYNC_DELAY = 40 * MILLISECOND;

    private static final long DOWN = 700 * MILLISECOND;
    private static final long REPLY_LIMIT = 900 * MILLISECOND;
    /** By this time after a restart of all processes every gateway must avoid the worker: twice the contact window. */
    private static final long CONTACT_LIMIT = 8 * SECOND;

    private static final long SERVES_ON = 20 * SECOND;
    private static final String LEAVING = "w1";
    private final List<String> used = new ArrayList<>();
    private int acknowledgedCount;
    private long sequence;

    private static Worker worker(final String id, final long sequence, final boolean isDraining) {
        return new Worker(id, "10.0.0.9:1", "z0", "r0", 1, sequence, 3, 1, 8, List.of(4L), isDraining, 0, "pool", 0, 0);
    }

    private NodeCluster cluster(final long seed, final Safeguards safeguards) {
        final NodeCluster cluster = new NodeCluster(3, 4, seed, safeguards, 2_500 * MILLISECOND);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.setDiskSyncDelay(DISK_SYNC_DELAY);
        sequence = 1;
        cluster.announceWorker("c1", worker(LEAVING, 1, false));
        heartbeats(cluster, 2 * SECOND);
        return cluster;
    }

    /** Lets time pass; meanwhile a worker that stays announces itself. */
    private void heartbeats(final NodeCluster cluster, final long duration) {
        for (long passed = 0; passed < duration; passed += HEARTBEAT_INTERVAL) {
            sequence++;
            cluster.announceWorker("c0", worker("w2", sequence, false));
            cluster.advance(Math.min(HEARTBEAT_INTERVAL, duration - passed));
        }
    }

    private static boolean sendsRequests(final NodeCluster cluster, final String gateway) {
        return Optional.ofNullable(cluster.node(gateway).gossip().workers().get(LEAVING))
                .map(Gossip.ObservedWorker::worker)
                .filter(worker -> !worker.draining())
                .isPresent();
    }

    private boolean end(final NodeCluster cluster, final String at, final boolean isDeleted) {
        if (isDeleted) {
            cluster.workerGone(at, LEAVING);
        } else {
            cluster.announceWorker(at, worker(LEAVING, 2, true));
        }
        final PendingConfirmation reply = cluster.confirmReport(at, LEAVING);
        cluster.advanceUntil(REPLY_LIMIT, reply::isAnswered);
        return reply.isHeld();
    }

    private void restart(final NodeCluster cluster, final List<String> names) {
        names.forEach(cluster::kill);
        cluster.advance(DOWN);
        names.forEach(name -> cluster.start(name, cluster.controllers()));
    }

    private void checkUnused(final NodeCluster cluster, final String detail) {
        heartbeats(cluster, CONTACT_LIMIT);
        for (long passed = CONTACT_LIMIT; passed < SERVES_ON; passed += SECOND) {
            for (final String gateway : cluster.gateways()) {
                if (sendsRequests(cluster, gateway)) {
                    used.add(detail + ": " + gateway + " after " + passed + " us");
                }
            }
            heartbeats(cluster, SECOND);
        }
    }

    /** Kills all processes some time after an acknowledgement; optionally one controller loses its disk. */
    private void killAll(final boolean isDeleted, final boolean losesDisk, final Safeguards safeguards) {
        for (long delay = 0; delay <= 20 * MILLISECOND; delay += 2 * MILLISECOND) {
            final NodeCluster cluster = cluster(90 + delay, safeguards);
            if (end(cluster, "c0", isDeleted)) {
                acknowledgedCount++;
                cluster.advance(delay);
                final List<String> all = new ArrayList<>(cluster.controllers());
                all.addAll(cluster.gateways());
                if (losesDisk) {
                    cluster.wipeDisk("c0");
                }
                restart(cluster, all);
                checkUnused(cluster, "killed " + delay + " us after the acknowledgement");
            }
        }
        assertThat("acknowledged", acknowledgedCount, greaterThanOrEqualTo(1));
    }

    /** After a kill of all processes, gateways sent requests to a worker whose end had been acknowledged. */
    @Test
    void anAcknowledgedEndSurvivesAKillOfAllProcesses() {
        killAll(true, false, Safeguards.ALL);
        assertThat(used, empty());
    }

    @Test
    void anAcknowledgedDrainSurvivesAKillOfAllProcesses() {
        killAll(false, false, Safeguards.ALL);
        assertThat(used, empty());
    }

    @Test
    void anAcknowledgedEndSurvivesAKillOfAllProcessesAndTheLossOfADisk() {
        killAll(true, true, Safeguards.ALL);
        assertThat(used, empty());
    }

    @Test
    void withoutTheSyncAnAcknowledgedEndIsForgotten() {
        killAll(true, false, new Safeguards(Set.of(Safeguard.REPORT_SYNC)));
        assertThat(used, not(empty()));
    }

    /** A controller that was cut off brought back a worker whose end only the killed controllers had held. */
    @Test
    void anAcknowledgedEndSurvivesAKillOfTheControllersThatHeldItBesideOneThatWasCutOff() {
        final NodeCluster cluster = cluster(120, Safeguards.ALL);
        cluster.links().partition(List.of("c2"), others(cluster, "c2"));
        cluster.links().partition(List.of("c2"), cluster.gateways());
        assertThat("acknowledged", end(cluster, "c0", true), is(true));
        restart(cluster, List.of("c0", "c1", "g0", "g1", "g2", "g3"));
        cluster.links().heal();
        checkUnused(cluster, "one controller cut off");
        assertThat(used, empty());
    }

    /** A stalled disk must not delay the acknowledgement while a majority of the disks works, and must not count as one that holds. */
    @Test
    void anEndIsAcknowledgedByAMajorityOfTheDisksOnly() {
        final NodeCluster cluster = cluster(130, Safeguards.ALL);
        cluster.stallDisk("c0");
        assertThat("one of three disks is stalled", end(cluster, "c0", true), is(true));
        final NodeCluster second = cluster(131, Safeguards.ALL);
        second.stallDisk("c0");
        second.stallDisk("c1");
        assertThat("two of three disks are stalled", end(second, "c2", true), is(false));
    }

    /** A drain that was read back after a restart was forgotten before another controller read back that the worker serves. */
    @Test
    void aDrainIsRememberedForLongerThanWhatAControllerThatStartsLaterHasSaved() {
        final NodeCluster cluster = cluster(135, Safeguards.ALL);
        cluster.kill("c2");
        assertThat("acknowledged", end(cluster, "c0", false), is(true));
        restart(cluster, List.of("c0", "c1", "g0", "g1", "g2", "g3"));
        heartbeats(cluster, 15 * SECOND);
        cluster.start("c2", cluster.controllers());
        heartbeats(cluster, SECOND);
        checkUnused(cluster, "a controller started later");
        assertThat(used, empty());
    }

    /** A controller that had been down brought back a worker from its saved reports, for longer than a minute. */
    @Test
    void aWorkerThatEndedWhileAControllerWasDownIsSoonRemovedAfterItsRestart() {
        final NodeCluster cluster = cluster(140, Safeguards.ALL);
        cluster.kill("c2");
        assertThat("acknowledged", end(cluster, "c0", true), is(true));
        heartbeats(cluster, 70 * SECOND);
        cluster.start("c2", cluster.controllers());
        heartbeats(cluster, 12 * SECOND);
        for (final String node : List.of("c0", "c1", "c2", "g0", "g1", "g2", "g3")) {
            assertThat(node, cluster.node(node).gossip().workers().containsKey(LEAVING), is(false));
        }
    }
}
