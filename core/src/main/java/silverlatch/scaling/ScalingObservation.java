package silverlatch.scaling;

import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.gossip.Worker;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;

/**
 * What is known at a moment of the workers and of what clients ask.
 *
 * @param scalings       the pools whose numbers of workers may be set, with their bounds
 * @param pools          the backend pools by name
 * @param workers        the workers that were heard lately
 * @param evacuatedZones the zones that get no new requests
 * @param liveGateways   how many gateways are alive
 * @param demand         what gateways reported lately, one element a gateway
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
