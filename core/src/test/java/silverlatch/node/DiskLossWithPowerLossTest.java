package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;

/**
 * Guards against forgetting what was acknowledged when one controller loses its disk at the moment at which all other machines lose power,
 * gateways included. The test runs complete nodes with their disks on a simulated clock; what isn't synced is lost.
 */
final class DiskLossWithPowerLossTest {
    private static final long MILLISECOND = 1_000L;
    private static final long STARTUP_GRACE = 3_500 * MILLISECOND;
    private static final long DISK_SYNC_DELAY = 5 * MILLISECOND;
    private static final long CALLER_TIMEOUT = SECOND;
    private static final long DOWN = 1_200 * MILLISECOND;
    /** By this time after the start of all machines, gateways must follow what was acknowledged: twice the contact window. */
    private static final long CONTACT_LIMIT = 8 * SECOND;

    private static final long WATCHED = 20 * SECOND;
    private static final String ZONE = "z0";
    private final List<String> forgotten = new ArrayList<>();
    private int commandNumber;

    private void order(final NodeCluster cluster, final String controller, final boolean isEvacuated) {
        commandNumber++;
        final PendingCommand pending = cluster.put(
                controller,
                new Command.SetEvacuation("zone-" + commandNumber, ZONE, isEvacuated, Command.Revisioned.LATEST));
        cluster.advanceUntil(CALLER_TIMEOUT, pending::isAcknowledged);
        assertThat("acknowledged by " + controller, pending.isAcknowledged(), is(true));
    }

    private static List<String> all(final NodeCluster cluster) {
        final List<String> all = new ArrayList<>(cluster.controllers());
        all.addAll(cluster.gateways());
        return all;
    }

    private void losePowerAndDisk(final NodeCluster cluster, final String losesDisk) {
        all(cluster).forEach(cluster::powerOff);
        cluster.wipeDisk(losesDisk);
        cluster.advance(DOWN);
        all(cluster).forEach(name -> cluster.start(name, cluster.controllers()));
    }

    private void watch(final NodeCluster cluster, final boolean isEvacuated, final String detail) {
        cluster.advance(CONTACT_LIMIT);
        for (long passed = CONTACT_LIMIT; passed < WATCHED; passed += SECOND) {
            for (final String gateway : cluster.gateways()) {
                final boolean follows = cluster.servedRevision(gateway) == 1
                        && cluster.node(gateway)
                                        .clusterSnapshot()
                                        .evacuatingZones()
                                        .contains(ZONE)
                                == isEvacuated;
                if (!follows) {
                    forgotten.add(detail + ": " + gateway + " after " + passed + " us");
                }
            }
            cluster.advance(SECOND);
        }
        cluster.controllers().forEach(controller -> {
            if (!cluster.read(controller).equals(Optional.of(1L))) {
                forgotten.add(detail + ": the configuration read at " + controller);
            }
        });
    }

    private void acknowledgeAndLose(
            final String acknowledger, final String losesDisk, final boolean isEvacuated, final long delay) {
        final NodeCluster cluster = new NodeCluster(3, 4, 300 + delay, Safeguards.ALL, STARTUP_GRACE);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.setDiskSyncDelay(DISK_SYNC_DELAY);
        order(cluster, acknowledger, true);
        if (!isEvacuated) {
            cluster.advance(2 * SECOND);
            order(cluster, acknowledger, false);
        }
        cluster.advance(delay);
        losePowerAndDisk(cluster, losesDisk);
        watch(
                cluster,
                isEvacuated,
                acknowledger + " acknowledged, " + losesDisk + " lost its disk " + delay + " us later, evacuated: "
                        + isEvacuated);
    }

    @Test
    void whatWasAcknowledgedSurvivesTheLossOfADiskWhileAllOtherMachinesLosePower() {
        for (final String acknowledger : List.of("c0", "c1", "c2")) {
            for (final String losesDisk : List.of("c0", "c1", "c2")) {
                for (final long delay : List.of(0L, 4 * MILLISECOND, 400 * MILLISECOND)) {
                    acknowledgeAndLose(acknowledger, losesDisk, true, delay);
                    acknowledgeAndLose(acknowledger, losesDisk, false, delay);
                }
            }
        }
        assertThat(forgotten, empty());
    }
}
