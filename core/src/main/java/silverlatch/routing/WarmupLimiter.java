package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Value;

/**
 * Slow start: how often this gateway may send to a worker that warms up. The worker's pool names a rate that all gateways
 * share without talking to each other: a few gateways, chosen for each worker by rendezvous hashing, may each send an equal
 * part of it. Owned by the routing event loop.
 */
final class WarmupLimiter {
    private static final long SECOND = 1_000_000L;
    private static final int HASH_SEED = 7;
    private static final double DEFAULT_RATE = 1;
    private final GatewayCountWindow gatewayCount;

    /** A limiter that divides the rate by the most gateways that were there lately. */
    WarmupLimiter(final GatewayCountWindow gatewayCount) {
        this.gatewayCount = gatewayCount;
    }

    /**
     * Whether this gateway may send a request to a worker that warms up now. One whose state nobody has confirmed knows too few of the other
     * gateways to share a rate with them.
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

    /** How many other gateways come before this one for a worker. */
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
