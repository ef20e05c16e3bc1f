package silverlatch.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.clock.Stamp;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.state.Policy;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/**
 * A gateway's knowledge of the cluster at one point in time. Immutable; built by the node and passed to the event loops that
 * dispatch and route requests.
 *
 * @param self            this gateway
 * @param revision        the revision of the replicated state from which the policy was taken
 * @param confirmedAt     when that revision was confirmed to be the newest, by the monotonic clock in microseconds; empty while a
 *                        higher revision is known to exist
 * @param lastConfirmedAt the latest time, by the same clock, at which the policy certainly contained every acknowledged change;
 *                        also set while a higher revision is known to exist, because that was acknowledged later
 * @param policy          tenants, rows (limits and scorer weights for a tenant and kind of request), routes and evacuations
 * @param workers         the newest report of each worker, by worker id
 * @param peers           the other gateways that are alive
 */
public record ClusterSnapshot(
        Member self,
        long revision,
        Optional<Long> confirmedAt,
        Optional<Long> lastConfirmedAt,
        Policy policy,
        Map<String, Gossip.ObservedWorker> workers,
        List<Member> peers) {
    /** Makes defensive copies of the collections. */
    public ClusterSnapshot {
        workers = Map.copyOf(workers);
        peers = List.copyOf(peers);
    }

    /** Creates a snapshot while no higher revision than its own is known. */
    public ClusterSnapshot(
            final Member self,
            final long revision,
            final Optional<Long> confirmedAt,
            final Policy policy,
            final Map<String, Gossip.ObservedWorker> workers,
            final List<Member> peers) {
        this(self, revision, confirmedAt, confirmedAt, policy, workers, peers);
    }

    /** Returns whether the revision was confirmed to be the newest at most {@code maxAge} microseconds before {@code now}. */
    public boolean isConfirmedWithin(final long now, final long maxAge) {
        return confirmedAt.map(at -> now - at <= maxAge).orElse(false);
    }

    /** Returns the tenant of a name. */
    public Optional<Value.Tenant> tenant(final String name) {
        return policy.value("t/" + name).map(Value.Tenant.class::cast);
    }

    /** Returns the row (limits and scorer weights) for a tenant and kind: the tenant's own, else the one for all tenants. */
    public Optional<Value.Row> row(final String tenant, final String kind) {
        return policy.value(StateMachine.rowKey(tenant, kind))
                .or(() -> policy.value(StateMachine.rowKey("*", kind)))
                .map(Value.Row.class::cast);
    }

    /** Returns the zones that are being evacuated and get no new requests. */
    public Set<String> evacuatingZones() {
        return policy.evacuatedZones();
    }

    /** Returns whether a zone is being evacuated by a command that is newer than a placement of this timestamp. */
    public boolean isPlacedBeforeEvacuation(final String zone, final Stamp placedAt) {
        return policy.evacuations().stream()
                .anyMatch(evacuation ->
                        evacuation.zone().equals(zone) && evacuation.active() && placedAt.isBefore(evacuation.stamp()));
    }
}
