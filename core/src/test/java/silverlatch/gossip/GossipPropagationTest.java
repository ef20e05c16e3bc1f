package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.replication.View;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.wire.GossipMessage;

/**
 * Tests anti-entropy: which data pulls transfer, how old reports become at each node, and how fast a new revision
 * reaches all nodes.
 */
final class GossipPropagationTest {
    private static final long SECOND = 1_000_000;

    @Test
    void equalDigestsTransferNoReportsAndOneDifferenceTransfersAtMostOne() {
        final GossipCluster cluster = new GossipCluster(5);
        for (int i = 0; i < 40; i++) {
            cluster.node("c0")
                    .onAnnouncement(
                            new Worker("w" + i, "a:" + i, "z0", "r0", 1, 1, 0, 0, 8, List.of(), false, 0),
                            0,
                            cluster.now());
        }
        cluster.advance(3 * SECOND);
        cluster.sent().clear();
        cluster.advance(2 * SECOND);
        assertThat(cluster.reportMessageCount(), is(0L));
        assertThat(
                cluster.sent().stream()
                        .filter(message -> message instanceof GossipMessage.GossipPullReply reply
                                && reply.content() instanceof GossipMessage.PullContent.DigestContent digests
                                && !digests.ranges().isEmpty())
                        .toList(),
                empty());
        cluster.node("c0")
                .onAnnouncement(
                        new Worker("w7", "a:7", "z0", "r0", 1, 2, 0, 0, 8, List.of(), true, 0), 0, cluster.now());
        cluster.node("c0").drain();
        cluster.advance(2 * SECOND);
        cluster.sent().forEach(message -> {
            if (message instanceof GossipMessage.MissingReports missing) {
                assertThat(missing.reports().size(), lessThanOrEqualTo(1));
            }
        });
        cluster.ids()
                .forEach(id -> assertThat(
                        id, cluster.node(id).workers().get("w7").worker().draining(), is(true)));
    }

    @Test
    void reportsAreConfirmedAtConnectedNodesAndAgeBehindPartition() {
        final GossipCluster cluster = new GossipCluster(9);
        cluster.announce("c0", 1);
        cluster.advance(2 * SECOND);
        cluster.ids()
                .forEach(id ->
                        assertThat(id, cluster.node(id).reportsAge(cluster.now()), lessThanOrEqualTo(2 * SECOND)));
        cluster.partitioned().addAll(List.of("c0", "g3", "g6"));
        cluster.advance(5 * SECOND);
        List.of("c0", "g3", "g6")
                .forEach(id -> assertThat(id, cluster.node(id).reportsAge(cluster.now()), greaterThan(4 * SECOND)));
        List.of("c1", "c2", "g4", "g8")
                .forEach(id ->
                        assertThat(id, cluster.node(id).reportsAge(cluster.now()), lessThanOrEqualTo(2 * SECOND)));
    }

    @Test
    void newRevisionReachesNinetySixNodesWithinOneSecondAndIsConfirmedByPulls() {
        final GossipCluster cluster = new GossipCluster(96);
        final StateMachine stateMachine = new StateMachine();
        stateMachine.apply(1, List.of(new Entry("r/*/chat", 1, List.of(TableRules.defaultRow("*", "chat")))));
        cluster.node("c0").adoptReplicaState(stateMachine, View.NONE, true, cluster.now());
        cluster.deliverEffects("c0");
        final long start = cluster.now();
        while (cluster.nodes().values().stream()
                        .anyMatch(node -> node.stateMachine().policyRevision() < 1)
                && cluster.now() - start < 2 * SECOND) {
            cluster.advance(50_000);
        }
        assertThat(cluster.now() - start, lessThanOrEqualTo(700_000L));
        for (int i = 0; i < 40; i++) {
            cluster.node("c0").adoptReplicaState(stateMachine, View.NONE, true, cluster.now());
            cluster.advance(50_000);
        }
        cluster.nodes()
                .forEach((id, node) -> assertThat(id, node.stateAge(cluster.now()), lessThanOrEqualTo(2 * SECOND)));
    }
}
