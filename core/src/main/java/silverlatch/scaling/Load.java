package silverlatch.scaling;

import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;

/**
 * What clients ask of a pool, in one place or another.
 *
 * @param arrivals requests a second
 * @param requests requests that run or wait
 * @param tokens   the tokens of these
 */
record Load(double arrivals, double requests, double tokens) {
    static final Load NONE = new Load(0, 0, 0);

    /** What the clients of a gateway ask of a pool. */
    static Load of(final GatewayDemand gateway, final String pool) {
        return gateway.pools().stream()
                .filter(demand -> demand.pool().equals(pool))
                .map(demand -> new Load(demand.arrivalsPerSecond(), demand.openRequests(), demand.openTokens()))
                .reduce(NONE, Load::plus);
    }

    Load plus(final Load other) {
        return new Load(arrivals + other.arrivals, requests + other.requests, tokens + other.tokens);
    }

    Load times(final double factor) {
        return new Load(arrivals * factor, requests * factor, tokens * factor);
    }

    /**
     * How many workers serve this, in fractions, if each has so large a part of its slots and of its cache in use; the pool may say nothing
     * of its workers' caches.
     */
    double workers(final Value.BackendPool pool, final double utilization) {
        final double bySlots = requests / Math.max(1, pool.slots());
        final double byCache = pool.cacheTokens() > 0 ? tokens / pool.cacheTokens() : 0;
        return Math.max(bySlots, byCache) / utilization;
    }
}
