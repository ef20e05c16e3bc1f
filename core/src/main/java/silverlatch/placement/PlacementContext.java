package silverlatch.placement;

import java.util.List;
import java.util.Set;
import silverlatch.state.Value;

/**
 * The request for which workers are scored.
 *
 * @param requestId       the id of the request, which breaks ties between workers
 * @param tenant          the tenant
 * @param row             the weights and limits for the tenant and kind of request
 * @param prefixDigests   salted digests of the request's prefix, shortest first
 * @param gatewayZone     the zone of the gateway that places the request
 * @param gatewayRegion   the region of that gateway
 * @param evacuatingZones the zones that get no new work
 */
public record PlacementContext(
        String requestId,
        Value.Tenant tenant,
        Value.Row row,
        List<Long> prefixDigests,
        String gatewayZone,
        String gatewayRegion,
        Set<String> evacuatingZones) {
    /** Copies the collections. */
    public PlacementContext {
        prefixDigests = List.copyOf(prefixDigests);
        evacuatingZones = Set.copyOf(evacuatingZones);
    }
}
