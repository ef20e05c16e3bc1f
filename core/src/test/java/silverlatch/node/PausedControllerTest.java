package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;
import static silverlatch.node.ClusterSteps.addressAt;
import static silverlatch.node.ClusterSteps.others;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Worker;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;

/**
 * Guards against a paused controller that, once resumed, carries out a command whose caller has moved on to another controller
 * and has sent other commands since. The test runs complete nodes on a simulated clock.
 */
final class PausedControllerTest {
    private static final String ZONE = "z1";
    /** The silence after which a caller gives up, in microseconds. */
    private static final long CALLER_TIMEOUT = SECOND;

    private static final List<Long> PAUSES = List.of(1_200_000L, 2 * SECOND, 4 * SECOND, 7 * SECOND);

    private final List<String> undone = new ArrayList<>();
    private int commandNumber;

    private Command evacuation(final boolean isEvacuated) {
        commandNumber++;
        return new Command.SetEvacuation("zone-" + commandNumber, ZONE, isEvacuated, Command.Revisioned.LATEST);
    }

    /** Sends a command to one controller after another, as an operator does, until it is acknowledged. */
    private void order(final NodeCluster cluster, final List<String> controllers, final boolean isEvacuated) {
        for (int i = 0; i < 12; i++) {
            final PendingCommand pending =
                    cluster.put(controllers.get(i % controllers.size()), evacuation(isEvacuated));
            cluster.advanceUntil(CALLER_TIMEOUT, pending::isAcknowledged);
            if (pending.isAcknowledged()) {
                return;
            }
            cluster.advance(50_000);
        }
        throw new AssertionError("the evacuation was not acknowledged");
    }

    private static boolean isEvacuated(final NodeCluster cluster, final String gateway) {
        return cluster.node(gateway).clusterSnapshot().evacuatingZones().contains(ZONE);
    }

    /**
     * Ends an evacuation through a paused controller and then through another one, and orders it again; after the pause the
     * evacuation must still be in force.
     */
    private void endAndOrderAgain(final long seed, final int position, final long pause, final Safeguards safeguards) {
        final NodeCluster cluster = new NodeCluster(3, 2, seed, safeguards);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final String paused = addressAt(cluster, position);
        final List<String> running = others(cluster, paused);
        order(cluster, List.of(paused), true);
        cluster.advance(2 * SECOND);
        cluster.freeze(paused);
        final long pausedAt = cluster.now();
        cluster.advance(100_000);
        cluster.clock().schedule(pausedAt + pause, () -> cluster.thaw(paused));
        cluster.put(paused, evacuation(false));
        cluster.advance(CALLER_TIMEOUT);
        order(cluster, running, false);
        order(cluster, running, true);
        cluster.advance(Math.max(0, pausedAt + pause - cluster.now()) + 4 * SECOND);
        for (final String gateway : cluster.gateways()) {
            if (!isEvacuated(cluster, gateway)) {
                undone.add("position " + position + ", pause of " + pause + " us, " + gateway);
            }
        }
    }

    private void endAndOrderAgainInEveryPosition(final Safeguards safeguards) {
        for (int position = 0; position < 3; position++) {
            for (final long pause : PAUSES) {
                endAndOrderAgain(60 + position, position, pause, safeguards);
            }
        }
    }

    /** A paused controller carried out an old end of an evacuation that had been ordered again since. */
    @Test
    void aCommandThatWaitedInAPausedControllerDoesNotUndoALaterOne() {
        endAndOrderAgainInEveryPosition(Safeguards.ALL);
        assertThat(undone, empty());
    }

    @Test
    void withoutThePauseDetectorALaterEvacuationIsUndone() {
        endAndOrderAgainInEveryPosition(new Safeguards(Set.of(Safeguard.PAUSE)));
        assertThat(undone, not(empty()));
    }

    /** A resumed node took the ages in frames that had waited for current ones, and brought back workers that had ended. */
    @Test
    void framesThatWaitedForLongAreDropped() {
        final NodeCluster cluster = new NodeCluster(3, 2, 80, Safeguards.ALL);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.freeze("c2");
        cluster.announceWorker("c0", worker());
        cluster.advance(SECOND);
        cluster.links().partition(List.of("c2"), List.of("c0", "c1", "g0", "g1"));
        cluster.workerGone("c0", "w");
        cluster.advance(90 * SECOND);
        assertThat("forgotten elsewhere", isKnown(cluster, "c0"), is(false));
        cluster.links().heal();
        cluster.thaw("c2");
        for (int i = 0; i < 30; i++) {
            cluster.advance(100_000);
            assertThat("brought back", isKnown(cluster, "c0") || isKnown(cluster, "c2"), is(false));
        }
    }

    private static Worker worker() {
        return new Worker("w", "10.0.0.9:1", "z0", "r0", 1, 1, 3, 1, 8, List.of(4L), false, 0, "pool", 0, 0);
    }

    private static boolean isKnown(final NodeCluster cluster, final String node) {
        return cluster.node(node).gossip().workers().containsKey("w");
    }

    /** A resumed controller must accept commands again soon, from callers that still wait. */
    @Test
    void aResumedControllerAcceptsNewCommands() {
        final NodeCluster cluster = new NodeCluster(3, 2, 70, Safeguards.ALL);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        final String paused = addressAt(cluster, 1);
        cluster.freeze(paused);
        cluster.advance(4 * SECOND);
        cluster.thaw(paused);
        cluster.advance(2 * SECOND);
        order(cluster, List.of(paused), true);
        cluster.advance(3 * SECOND);
        assertThat(isEvacuated(cluster, "g0"), is(true));
    }
}
