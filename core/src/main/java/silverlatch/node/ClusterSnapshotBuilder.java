package silverlatch.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Policy;

/**
 * Builds immutable copies of what a node knows, for the event loop that routes requests.
 *
 * <p>A snapshot contains the configuration only after it was confirmed as the newest as of a time after this process
 * started. So it is never older than the configuration by which an earlier process on this machine routed. Until
 * then, and only for a limited time after the start, a snapshot contains an unconfirmed configuration if the settings
 * allow it: it was committed, but may be outdated.
 *
 * <p>As long as nothing changes the same instance is returned, so that a caller can detect changes by identity.
 */
final class ClusterSnapshotBuilder {
    private final Node.Settings settings;
    private final Membership membership;
    private final Gossip gossip;
    private final long startedAt;
    private boolean isStateConfirmed;
    private Policy policy = Policy.NONE;
    private long policyRevision;
    private List<Member> peers = List.of();
    private long peersVersion = -1;
    private Optional<ClusterSnapshot> last = Optional.empty();

    ClusterSnapshotBuilder(
            final Node.Settings settings, final Membership membership, final Gossip gossip, final long startedAt) {
        this.settings = settings;
        this.membership = membership;
        this.gossip = gossip;
        this.startedAt = startedAt;
    }

    /**
     * Returns a snapshot as of {@code now}.
     *
     * @param hasJoined whether this node has joined; if not, the snapshot has no time of confirmation
     */
    ClusterSnapshot build(final boolean hasJoined, final long now) {
        isStateConfirmed = isStateConfirmed
                || gossip.lastConfirmedAt().filter(at -> at >= startedAt).isPresent();
        if (!isStateConfirmed && !isWithinStartupGrace(now)) {
            return snapshot(0, Optional.empty(), Optional.empty(), Policy.NONE);
        }
        updatePolicy();
        final Optional<Long> lastConfirmedAt = hasJoined ? gossip.lastConfirmedAt() : Optional.empty();
        final boolean isNewest = gossip.stateAge(now) != Long.MAX_VALUE;
        return snapshot(policyRevision, isNewest ? lastConfirmedAt : Optional.empty(), lastConfirmedAt, policy);
    }

    private boolean isWithinStartupGrace(final long now) {
        final long grace = settings.startupGrace();
        final boolean isBounded = settings.safeguards().isEnabled(Safeguard.STARTUP_GRACE);
        return grace > 0 && (now - startedAt < grace || !isBounded);
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
            final long revision,
            final Optional<Long> confirmedAt,
            final Optional<Long> lastConfirmedAt,
            final Policy confirmedPolicy) {
        final Map<String, Gossip.ObservedWorker> workers = gossip.workers();
        final Member self = membership.self();
        final Optional<ClusterSnapshot> unchanged = last.filter(snapshot -> snapshot.self() == self
                && snapshot.revision() == revision
                && snapshot.confirmedAt().equals(confirmedAt)
                && snapshot.lastConfirmedAt().equals(lastConfirmedAt)
                && snapshot.policy() == confirmedPolicy
                && snapshot.workers() == workers
                && peersVersion == membership.version());
        if (unchanged.isEmpty()) {
            last = Optional.of(new ClusterSnapshot(
                    self, revision, confirmedAt, lastConfirmedAt, confirmedPolicy, workers, currentPeers()));
        }
        return last.get();
    }

    private List<Member> currentPeers() {
        if (peersVersion != membership.version()) {
            peersVersion = membership.version();
            peers = membership.liveMembers().stream().filter(Member::isGateway).toList();
        }
        return peers;
    }
}
