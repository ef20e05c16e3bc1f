package silverlatch.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import silverlatch.membership.Member;
import silverlatch.membership.MemberState;
import silverlatch.placement.PlacementContext;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Value;

/**
 * Holds the newest snapshot of the cluster at this gateway, and derives from it whether it may be acted on, which tenants this
 * gateway serves, and which other gateways serve them. Used only by the dispatch event loop.
 */
final class ClusterView {
    private final long maxConfirmationAge;
    private final Safeguards safeguards;
    private ClusterSnapshot snapshot;

    /**
     * Creates a view of a snapshot.
     *
     * @param maxConfirmationAge for how many microseconds a snapshot may be acted on after it was confirmed to be the newest
     */
    ClusterView(final long maxConfirmationAge, final Safeguards safeguards, final ClusterSnapshot snapshot) {
        this.maxConfirmationAge = maxConfirmationAge;
        this.safeguards = safeguards;
        this.snapshot = snapshot;
    }

    /** Returns the newest snapshot. */
    ClusterSnapshot snapshot() {
        return snapshot;
    }

    /** Replaces the snapshot with a newer one. */
    void update(final ClusterSnapshot next) {
        snapshot = next;
    }

    /** Returns whether the snapshot was confirmed to be the newest recently enough to be acted on. */
    boolean isConfirmed(final long now) {
        return snapshot.isConfirmedWithin(now, maxConfirmationAge)
                || !safeguards.isEnabled(Safeguard.CONFIRMED_REVISION);
    }

    /** Returns whether this gateway is in one of the tenant's home regions. */
    boolean servesTenant(final Value.Tenant tenant) {
        return tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(snapshot.self().region())
                || !safeguards.isEnabled(Safeguard.GATEWAY_HOME_REGION);
    }

    /** Returns whether this gateway's zone is being evacuated; if so, the gateway accepts no new requests. */
    boolean isZoneEvacuating() {
        return snapshot.evacuatingZones().contains(snapshot.self().zone())
                && safeguards.isEnabled(Safeguard.EVACUATION);
    }

    /** Returns a request's tenant as configured now; empty if the tenant was removed or its key was changed. */
    Optional<Value.Tenant> currentTenant(final DispatchedRequest request) {
        return snapshot.tenant(request.permit().tenant())
                .filter(tenant -> tenant.keyHash().equals(request.tenant().keyHash()));
    }

    /** Returns whether a request's tenant still exists, has the same key, and is served by this gateway. */
    boolean stillServes(final DispatchedRequest request) {
        return currentTenant(request).map(this::servesTenant).orElse(false);
    }

    /** Returns how many gateways are ready, counting this one. */
    int gatewayCount() {
        return 1 + (int) snapshot.peers().stream().filter(Member::ready).count();
    }

    /** Returns how many gateways share the limits of a tenant: those that may serve it, counting this one. */
    int gatewayCount(final Value.Tenant tenant) {
        final Set<String> evacuatingZones = snapshot.evacuatingZones();
        return 1
                + (int) snapshot.peers().stream()
                        .filter(peer -> peer.ready()
                                && !evacuatingZones.contains(peer.zone())
                                && isHomeRegion(tenant, peer.region()))
                        .count();
    }

    /** Returns the HTTP addresses of the other gateways that may serve a tenant now. */
    List<String> endpointsFor(final Value.Tenant tenant) {
        final Set<String> evacuatingZones = snapshot.evacuatingZones();
        return snapshot.peers().stream()
                .filter(Member::ready)
                .filter(peer -> peer.is(MemberState.UP) && !evacuatingZones.contains(peer.zone()))
                .filter(peer -> isHomeRegion(tenant, peer.region()))
                .map(Member::httpAddress)
                .toList();
    }

    /** Returns the scorers' input about a request. */
    PlacementContext placementContext(
            final String requestId, final Value.Tenant tenant, final Value.Row row, final List<Long> prefixDigests) {
        return new PlacementContext(
                requestId,
                tenant,
                row,
                prefixDigests,
                snapshot.self().zone(),
                snapshot.self().region(),
                snapshot.evacuatingZones());
    }

    /** Returns whether a region is one of the tenant's home regions; a tenant that names none is at home in all. */
    static boolean isHomeRegion(final Value.Tenant tenant, final String region) {
        return tenant.homeRegions().isEmpty() || tenant.homeRegions().contains(region);
    }
}
