package silverlatch.placement;

import java.util.List;
import java.util.Set;
import silverlatch.state.Value;

/**
 * A ticket as the judges see it.
 *
 * @param requestId its id
 * @param tenant whose it is
 * @param row    the weights and limits for it
 * @param prefixDigests salted digests of its prefix, shortest first
 * @param gatewayZone   the carrier's zone
 * @param gatewayRegion the carrier's region
 * @param evacuatingZones  the zones that are being emptied
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
