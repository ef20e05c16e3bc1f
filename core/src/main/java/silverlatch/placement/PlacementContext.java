package silverlatch.placement;

import java.util.List;
import java.util.Set;
import silverlatch.state.Value;

/**
 * A request as the scorers see it.
 *
 * @param requestId       its id, by which ties between workers are broken
 * @param tenant          its tenant
 * @param row             the weights and limits for its tenant and kind
 * @param prefixDigests   salted digests of its prefix, shortest first
 * @param gatewayZone     the zone of the gateway that places it
 * @param gatewayRegion   that gateway's region
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
