package silverlatch.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.wire.TrafficMessage;

/**
 * Measures the demand of a gateway's clients for each pool, as exponential moving averages over the last seconds.
 * Confined to the routing event loop, except {@link #latest}, which any thread may call. Times are microseconds of the
 * monotonic clock.
 */
public final class DemandMeter {
    /** The interval at which the averages are updated. */
    static final long SAMPLE_INTERVAL_MICROS = 200_000L;

    /**
     * The time after which an average has followed a step to about two thirds (63 %). It is long compared with a single
     * request, and short compared with the start of a new worker.
     */
    static final double TIME_CONSTANT_MICROS = 2_000_000.0;

    /** Published averages are rounded to this resolution, as their digits are sent over the network. */
    private static final double STEPS_PER_UNIT = 100;

    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private final Map<String, PoolMeter> meters = new TreeMap<>();
    private volatile List<TrafficMessage.PoolDemand> latest = List.of();
    private long sampledAt = Long.MIN_VALUE;

    /** Records that a request for a pool arrived. */
    public void requestOpened(final String pool, final int tokens) {
        meters.computeIfAbsent(pool, name -> new PoolMeter()).opened(tokens);
    }

    /** Records that an open request ended. */
    public void requestClosed(final String pool, final int tokens) {
        meters.computeIfAbsent(pool, name -> new PoolMeter()).closed(tokens);
    }

    /** Updates the averages. Must be called several times a second. */
    public void sample(final long now) {
        if (sampledAt == Long.MIN_VALUE) {
            sampledAt = now;
        }
        final long elapsed = now - sampledAt;
        if (elapsed < SAMPLE_INTERVAL_MICROS) {
            return;
        }
        sampledAt = now;
        meters.values().forEach(meter -> meter.sample(elapsed));
        meters.values().removeIf(PoolMeter::isIdle);
        final List<TrafficMessage.PoolDemand> demand = new ArrayList<>();
        meters.forEach((pool, meter) -> demand.add(meter.demand(pool)));
        latest = List.copyOf(demand);
    }

    /** Returns the averages of the last sample, ordered by pool name. Pools without demand are omitted. */
    public List<TrafficMessage.PoolDemand> latest() {
        return latest;
    }

    /** The demand for one pool. */
    private static final class PoolMeter {
        private int arrivals;
        private int openRequests;
        private long openTokens;
        private double averageArrivals;
        private double averageRequests;
        private double averageTokens;

        void opened(final int tokens) {
            arrivals++;
            openRequests++;
            openTokens += tokens;
        }

        void closed(final int tokens) {
            openRequests--;
            openTokens -= tokens;
        }

        void sample(final long elapsed) {
            final double weight = 1 - Math.exp(-elapsed / TIME_CONSTANT_MICROS);
            averageArrivals += weight * (arrivals * MICROS_PER_SECOND / elapsed - averageArrivals);
            averageRequests += weight * (openRequests - averageRequests);
            averageTokens += weight * (openTokens - averageTokens);
            arrivals = 0;
        }

        boolean isIdle() {
            return openRequests == 0 && rounded(averageArrivals) == 0 && rounded(averageRequests) == 0;
        }

        TrafficMessage.PoolDemand demand(final String pool) {
            return new TrafficMessage.PoolDemand(
                    pool, rounded(averageArrivals), rounded(averageRequests), Math.rint(averageTokens));
        }

        private static double rounded(final double value) {
            return Math.rint(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
        }
    }
}
