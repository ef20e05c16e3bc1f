package silverlatch.traffic;

import java.util.List;
import silverlatch.wire.TrafficMessage;

/**
 * What the clients of one gateway ask for, as the owner of the singleton role last heard it.
 *
 * @param zone   the gateway's zone
 * @param region the gateway's region
 * @param pools  the demand by pool
 */
public record GatewayDemand(String zone, String region, List<TrafficMessage.PoolDemand> pools) {
    /** Copies the list. */
    public GatewayDemand {
        pools = List.copyOf(pools);
    }
}
