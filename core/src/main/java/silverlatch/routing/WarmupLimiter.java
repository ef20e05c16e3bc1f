package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Value;

/**
 * Slow start: limits how often this gateway sends requests to a worker that is warming up. The worker's pool configures
 * a rate that all gateways share without communicating: rendezvous hashing selects a few gateways for each worker, and
 * each of these may use an equal share of the rate. Confined to the routing event loop; times are microseconds.
 */
final class WarmupLimiter {
    private static final long SECOND = 1_000_000L;
    private static final int HASH_SEED = 7;
    private static final double DEFAULT_RATE = 1;
    private final GatewayCountWindow gatewayCount;

    /** Creates a limiter that divides the rate by the highest recent number of gateways. */
    WarmupLimiter(final GatewayCountWindow gatewayCount) {
        this.gatewayCount = gatewayCount;
    }

    /**
     * Returns whether this gateway may send a request to the warming-up worker now. Always false while this gateway's
     * state isn't confirmed, since it may then know too few of the other gateways to share the rate with them.
     */
    boolean maySend(
            final WorkerState worker, final RoutingTable routingTable, final ClusterSnapshot cluster, final long now) {
        if (cluster.confirmedAt().isEmpty()) {
            return false;
        }
        final double rate = routingTable
                .pool(worker.worker().pool())
                .map(Value.BackendPool::warmupRequestsPerSecond)
                .filter(configured -> configured > 0)
                .orElse(DEFAULT_RATE);
        final int sharingGateways = Math.max(1, Math.min(gatewayCount.max(), (int) Math.floor(rate)));
        final long interval = Math.max(SECOND, Math.round(sharingGateways * SECOND / rate));
        return countGatewaysAhead(worker, cluster) < sharingGateways && now - worker.lastSentAt() >= interval;
    }

    /** Returns how many other gateways rank before this one for the worker. */
    private static long countGatewaysAhead(final WorkerState worker, final ClusterSnapshot cluster) {
        final long own = hash(worker, cluster.self().id());
        return cluster.peers().stream()
                .filter(peer -> hash(worker, peer.id()) > own)
                .count();
    }

    private static long hash(final WorkerState worker, final String gateway) {
        return LatencyPredictor.rendezvousHash(HASH_SEED, worker.id() + gateway);
    }
}
