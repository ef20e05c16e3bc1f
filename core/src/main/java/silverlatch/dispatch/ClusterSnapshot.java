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
 * What a gateway knows at one moment, copied for the duty that carries tickets.
 *
 * @param self      this gateway
 * @param revision    the page held
 * @param confirmedAt    when the page was surely the newest, by the monotonic clock
 * @param policy  tenants, rows and orders on zones
 * @param workers the workers heard of
 * @param peers    the live gateways, without this one
 */
public record ClusterSnapshot(
        Member self,
        long revision,
        Optional<Long> confirmedAt,
        Policy policy,
        Map<String, Gossip.ObservedWorker> workers,
        List<Member> peers) {
    /** Copies the collections. */
    public ClusterSnapshot {
        workers = Map.copyOf(workers);
        peers = List.copyOf(peers);
    }

    /** Whether the page held was surely the newest within the span. */
    public boolean isConfirmedWithin(final long now, final long maxAge) {
        return confirmedAt.map(t -> now - t <= maxAge).orElse(false);
    }

    /** A tenant by name. */
    public Optional<Value.Tenant> tenant(final String name) {
        return policy.value("t/" + name).map(l -> (Value.Tenant) l);
    }

    /** The row for a tenant and kind: its own, or the one for all. */
    public Optional<Value.Row> row(final String tenant, final String kind) {
        return policy.value(StateMachine.rowKey(tenant, kind))
                .or(() -> policy.value(StateMachine.rowKey("*", kind)))
                .map(l -> (Value.Row) l);
    }

    /** The zones that are being emptied. */
    public Set<String> evacuatingZones() {
        return policy.evacuatedZones();
    }

    /** Whether a pick with this stamp was made before the worker's zone was ordered empty. */
    public boolean isPlacedBeforeEvacuation(final String zone, final Stamp placedAt) {
        return policy.evacuations().stream()
                .anyMatch(d -> d.zone().equals(zone) && d.active() && placedAt.isBefore(d.stamp()));
    }
}
