package silverlatch.scaling;

import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.gossip.Worker;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;

/**
 * The workers and the demand as known at a point in time.
 *
 * @param scalings       the pools whose worker counts may be set, with their bounds
 * @param pools          the backend pools by name
 * @param workers        the workers that reported recently
 * @param evacuatedZones the zones that get no new requests
 * @param liveGateways   how many gateways are alive
 * @param demand         the recently reported demand, one element per gateway
 */
public record ScalingObservation(
        List<Value.PoolScaling> scalings,
        Map<String, Value.BackendPool> pools,
        List<Worker> workers,
        Set<String> evacuatedZones,
        int liveGateways,
        List<GatewayDemand> demand) {
    /** Copies the collections. */
    public ScalingObservation {
        scalings = List.copyOf(scalings);
        pools = Map.copyOf(pools);
        workers = List.copyOf(workers);
        evacuatedZones = Set.copyOf(evacuatedZones);
        demand = List.copyOf(demand);
    }
}
