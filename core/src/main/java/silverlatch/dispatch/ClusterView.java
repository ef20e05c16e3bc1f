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
 * The newest snapshot that this gateway has of the cluster, and what follows from it: whether it may be acted on, and whom
 * this gateway serves. Owned by the dispatch event loop.
 */
final class ClusterView {
    private final long maxConfirmationAge;
    private final Safeguards safeguards;
    private ClusterSnapshot snapshot;

    /** A view that may be acted on for so many microseconds after the snapshot was confirmed to be the newest. */
    ClusterView(final long maxConfirmationAge, final Safeguards safeguards, final ClusterSnapshot snapshot) {
        this.maxConfirmationAge = maxConfirmationAge;
        this.safeguards = safeguards;
        this.snapshot = snapshot;
    }

    /** The newest snapshot. */
    ClusterSnapshot snapshot() {
        return snapshot;
    }

    /** Takes a newer snapshot. */
    void update(final ClusterSnapshot next) {
        snapshot = next;
    }

    /** Whether the snapshot was the newest a short time ago, so that it may be acted on. */
    boolean isConfirmed(final long now) {
        return snapshot.isConfirmedWithin(now, maxConfirmationAge)
                || !safeguards.isEnabled(Safeguard.CONFIRMED_REVISION);
    }

    /** Whether this gateway is in one of the tenant's home regions. */
    boolean servesTenant(final Value.Tenant tenant) {
        return tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(snapshot.self().region())
                || !safeguards.isEnabled(Safeguard.GATEWAY_HOME_REGION);
    }

    /** Whether this gateway's zone is being evacuated, so that it takes no new request. */
    boolean isZoneEvacuating() {
        return snapshot.evacuatingZones().contains(snapshot.self().zone())
                && safeguards.isEnabled(Safeguard.EVACUATION);
    }

    /** A request's tenant as it is now, unless it is gone or has another key by now. */
    Optional<Value.Tenant> currentTenant(final DispatchedRequest request) {
        return snapshot.tenant(request.permit().tenant())
                .filter(tenant -> tenant.keyHash().equals(request.tenant().keyHash()));
    }

    /** Whether a request's tenant is still there, with the same key, and is served here. */
    boolean stillServes(final DispatchedRequest request) {
        return currentTenant(request).map(this::servesTenant).orElse(false);
    }

    /** How many gateways are ready, with this one. */
    int gatewayCount() {
        return 1 + (int) snapshot.peers().stream().filter(Member::ready).count();
    }

    /** How many gateways share the limits of a tenant: those that may serve it, with this one. */
    int gatewayCount(final Value.Tenant tenant) {
        final Set<String> evacuatingZones = snapshot.evacuatingZones();
        return 1
                + (int) snapshot.peers().stream()
                        .filter(peer -> peer.ready()
                                && !evacuatingZones.contains(peer.zone())
                                && isHomeRegion(tenant, peer.region()))
                        .count();
    }

    /** The HTTP addresses of the other gateways that may serve a tenant now. */
    List<String> endpointsFor(final Value.Tenant tenant) {
        final Set<String> evacuatingZones = snapshot.evacuatingZones();
        return snapshot.peers().stream()
                .filter(Member::ready)
                .filter(peer -> peer.is(MemberState.UP) && !evacuatingZones.contains(peer.zone()))
                .filter(peer -> isHomeRegion(tenant, peer.region()))
                .map(Member::httpAddress)
                .toList();
    }

    /** A request as the scorers see it. */
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

    /** Whether a region is one of the tenant's homes; all are where it names none. */
    static boolean isHomeRegion(final Value.Tenant tenant, final String region) {
        return tenant.homeRegions().isEmpty() || tenant.homeRegions().contains(region);
    }
}
