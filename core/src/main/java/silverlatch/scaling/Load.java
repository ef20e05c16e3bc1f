package silverlatch.scaling;

import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;

/**
 * The load of clients on a pool, for a gateway, zone or region.
 *
 * @param arrivals requests per second
 * @param requests requests that are running or waiting
 * @param tokens   the tokens of the running and waiting requests
 */
record Load(double arrivals, double requests, double tokens) {
    static final Load NONE = new Load(0, 0, 0);

    /** Returns the load that the clients of a gateway put on a pool. */
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
     * Returns the fractional number of workers that can serve this load if each uses the given part of its slots and of its
     * cache. The cache is ignored if the pool doesn't specify its size.
     */
    double workers(final Value.BackendPool pool, final double utilization) {
        final double bySlots = requests / Math.max(1, pool.slots());
        final double byCache = pool.cacheTokens() > 0 ? tokens / pool.cacheTokens() : 0;
        return Math.max(bySlots, byCache) / utilization;
    }
}
