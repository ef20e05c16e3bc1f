package silverlatch.node;

import java.util.Optional;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.state.Policy;

/**
 * Copies what a node knows for the event loop that routes requests.
 *
 * <p>The configuration is given only once it was confirmed as the newest as of a moment after this process started: so it is
 * never older than one by which an earlier process of this machine routed.
 */
final class ClusterSnapshotBuilder {
    private final Membership membership;
    private final Gossip gossip;
    private final long startedAt;
    private boolean isStateConfirmed;
    private Policy policy = Policy.NONE;
    private long policyRevision;

    ClusterSnapshotBuilder(final Membership membership, final Gossip gossip, final long startedAt) {
        this.membership = membership;
        this.gossip = gossip;
        this.startedAt = startedAt;
    }

    /** Returns a snapshot as of now; without a moment of confirmation while the node hasn't joined. */
    ClusterSnapshot build(final boolean hasJoined, final long now) {
        isStateConfirmed = isStateConfirmed || gossip.confirmedSince(startedAt);
        if (!isStateConfirmed) {
            return snapshot(0, Optional.empty(), Policy.NONE);
        }
        updatePolicy();
        final long age = gossip.stateAge(now);
        final boolean isConfirmed = hasJoined && age != Long.MAX_VALUE;
        return snapshot(policyRevision, isConfirmed ? Optional.of(now - age) : Optional.empty(), policy);
    }

    private void updatePolicy() {
        final long revision = gossip.stateMachine().policyRevision();
        if (policyRevision == revision) {
            return;
        }
        final boolean isIncremental = policyRevision > 0 && policyRevision < revision;
        policy = (isIncremental ? policy : Policy.NONE)
                .with(gossip.stateMachine().policySince(isIncremental ? policyRevision : 0));
        policyRevision = revision;
    }

    private ClusterSnapshot snapshot(
            final long revision, final Optional<Long> confirmedAt, final Policy confirmedPolicy) {
        return new ClusterSnapshot(
                membership.self(),
                revision,
                confirmedAt,
                confirmedPolicy,
                gossip.workers(),
                membership.liveMembers().stream().filter(Member::isGateway).toList());
    }
}
