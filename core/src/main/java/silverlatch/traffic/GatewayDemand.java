package silverlatch.traffic;

import java.util.List;
import silverlatch.wire.TrafficMessage;

/**
 * The demand of one gateway's clients, as last received by the owner of the singleton role.
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
