package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.safeguard.Safeguards;

/** Checks that a new snapshot is built if, and only if, its content has changed. */
final class ClusterSnapshotBuilderTest {
    private static final long SECOND = 1_000_000L;
    private final Membership membership =
            new Membership(gateway("me"), List.of("10.0.0.9:1"), Membership.Settings.LARGE_FLEET);
    private final Gossip gossip =
            new Gossip(membership, new SplittableRandom(1), Gossip.Settings.LARGE_FLEET, Safeguards.ALL);
    private final ClusterSnapshotBuilder builder = new ClusterSnapshotBuilder(
            new Node.Settings(
                    membership.self(),
                    List.of("10.0.0.9:1"),
                    7,
                    0,
                    Membership.Settings.LARGE_FLEET,
                    Gossip.Settings.LARGE_FLEET),
            membership,
            gossip,
            0);

    private static Member gateway(final String id) {
        return new Member(id, "gateway", "w1", "west", id + ":1", id + ":2", 1, 0, "up", true);
    }

    private static Worker worker(final long sequence) {
        return new Worker("w", "w:1", "west1", "west", 1, sequence, 0, 0, 8, List.of(), false, 0, "pool", 0, 0);
    }

    @Test
    void returnsTheSameSnapshotIfNothingChanged() {
        final ClusterSnapshot first = builder.build(true, SECOND);
        assertThat(builder.build(true, 2 * SECOND), is(sameInstance(first)));
    }

    @Test
    void rebuildsWhenAMemberJoins() {
        final ClusterSnapshot first = builder.build(true, SECOND);
        membership.applyUpdate(gateway("other"), SECOND);
        final ClusterSnapshot second = builder.build(true, SECOND);
        assertThat(second, is(not(sameInstance(first))));
        assertThat(second.peers(), hasSize(1));
        assertThat(builder.build(true, SECOND), is(sameInstance(second)));
    }

    @Test
    void rebuildsWhenAWorkerIsAnnounced() {
        final ClusterSnapshot first = builder.build(true, SECOND);
        gossip.onAnnouncement(worker(1), 0, SECOND);
        final ClusterSnapshot second = builder.build(true, SECOND);
        assertThat(second, is(not(sameInstance(first))));
        assertThat(second.workers().size(), is(1));
    }

    @Test
    void rebuildsWhenThisNodeChanges() {
        final ClusterSnapshot first = builder.build(true, SECOND);
        membership.setReady(false);
        assertThat(builder.build(true, SECOND), is(not(sameInstance(first))));
        assertThat(builder.build(true, SECOND).self().ready(), is(false));
    }
}
