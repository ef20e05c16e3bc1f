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
 * @param me      this gateway
 * @param page    the page held
 * @param sure    when the page was surely the newest, by the monotonic clock
 * @param policy  tenants, rows and orders on zones
 * @param workers the workers heard of
 * @param crew    the live gateways, without this one
 */
public record Facts(
        Member me,
        long page,
        Optional<Long> sure,
        Policy policy,
        Map<String, Gossip.ObservedWorker> workers,
        List<Member> crew) {
    /** Copies the collections. */
    public Facts {
        workers = Map.copyOf(workers);
        crew = List.copyOf(crew);
    }

    /** Whether the page held was surely the newest within the span. */
    public boolean fresh(final long now, final long span) {
        return sure.map(t -> now - t <= span).orElse(false);
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
    public Set<String> empty() {
        return policy.evacuatedZones();
    }

    /** Whether a pick with this stamp was made before the worker's zone was ordered empty. */
    public boolean drained(final String zone, final Stamp stamp) {
        return policy.evacuations().stream()
                .anyMatch(d -> d.zone().equals(zone) && d.active() && stamp.isBefore(d.stamp()));
    }
}
