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
 * What a gateway knows of the cluster at one moment; immutable, made by the node and handed to the event loops that
 * dispatch and route.
 *
 * @param self            this gateway
 * @param revision        the revision of the replicated state that the policy is of
 * @param confirmedAt     when that revision was confirmed to be the newest, by the monotonic clock in microseconds; empty while a
 *                        higher one is known
 * @param lastConfirmedAt as of when the policy surely lacked no acknowledged change, by the same clock; also while a higher revision is
 *                        known, as that was acknowledged later
 * @param policy          tenants, rows, routes and evacuations
 * @param workers         the newest reports of workers, by id
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
    /** Copies the collections. */
    public ClusterSnapshot {
        workers = Map.copyOf(workers);
        peers = List.copyOf(peers);
    }

    /** A snapshot while no higher revision is known than its own. */
    public ClusterSnapshot(
            final Member self,
            final long revision,
            final Optional<Long> confirmedAt,
            final Policy policy,
            final Map<String, Gossip.ObservedWorker> workers,
            final List<Member> peers) {
        this(self, revision, confirmedAt, confirmedAt, policy, workers, peers);
    }

    /** Whether the revision was confirmed to be the newest within the microseconds before now. */
    public boolean isConfirmedWithin(final long now, final long maxAge) {
        return confirmedAt.map(at -> now - at <= maxAge).orElse(false);
    }

    /** A tenant by name. */
    public Optional<Value.Tenant> tenant(final String name) {
        return policy.value("t/" + name).map(Value.Tenant.class::cast);
    }

    /** The row for a tenant and kind: the tenant's own, or the one for all tenants. */
    public Optional<Value.Row> row(final String tenant, final String kind) {
        return policy.value(StateMachine.rowKey(tenant, kind))
                .or(() -> policy.value(StateMachine.rowKey("*", kind)))
                .map(Value.Row.class::cast);
    }

    /** The zones that are being evacuated and get no new work. */
    public Set<String> evacuatingZones() {
        return policy.evacuatedZones();
    }

    /** Whether a placement with this timestamp was made before the evacuation of a zone that is in force. */
    public boolean isPlacedBeforeEvacuation(final String zone, final Stamp placedAt) {
        return policy.evacuations().stream()
                .anyMatch(evacuation ->
                        evacuation.zone().equals(zone) && evacuation.active() && placedAt.isBefore(evacuation.stamp()));
    }
}
