package silverlatch.server.controller;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.PhysicalClock;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;

/** Creates nodes of a controller that receives nothing from any other node. */
final class IsolatedNode {
    private static final long WALL_NANOS = 1_800_000_000_000_000_000L;

    private IsolatedNode() {}

    /** Creates a node without a replica that starts at a time of the monotonic clock, in microseconds. */
    static Node create(final long now) {
        return create(now, Optional.empty());
    }

    /** Creates a node with a replica of the chain that knows no view, because no other node replies to it. */
    static Node createWithReplica(final long now) {
        return create(now, Optional.of(ReplicaSettings.of(new Replica("id", "127.0.0.1:1"), List.of("127.0.0.1:9"))));
    }

    private static Node create(final long now, final Optional<ReplicaSettings> replica) {
        final Member self = new Member(
                "one", "controller", "z", "r", "127.0.0.1:1", "127.0.0.1:2", WALL_NANOS / 1000, 0, "up", false);
        final Node.Settings settings = new Node.Settings(
                self, List.of("127.0.0.1:1"), 7, 50_000L, Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS);
        return new Node(
                settings, replica, List.of(), new PhysicalClock(WALL_NANOS, now, 0), new SplittableRandom(7), now);
    }
}
