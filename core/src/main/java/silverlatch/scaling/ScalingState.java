package silverlatch.scaling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What {@link ScalingPolicy} remembers from one decision to the next, the counts that it wants among it.
 *
 * @param pools by the pool's name
 */
public record ScalingState(Map<String, PoolState> pools) {
    /** Nothing was observed yet. */
    public static final ScalingState NONE = new ScalingState(Map.of());

    /** A time before all others; differences to it don't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Copies the map. */
    public ScalingState {
        pools = Map.copyOf(pools);
    }

    /** The counts that are wanted, by pool and zone; zones for which nothing was decided yet are left out. */
    public List<WorkerTarget> targets() {
        return new TreeMap<>(pools)
                .values().stream()
                        .flatMap(pool -> new TreeMap<>(pool.zones()).values().stream())
                        .flatMap(zone -> zone.target().stream())
                        .toList();
    }

    PoolState pool(final String name) {
        return pools.getOrDefault(name, PoolState.NONE);
    }

    /**
     * What is remembered of a pool.
     *
     * @param demandSince since when the demand has been known without a gap, or {@link #NEVER}
     * @param isObserved  whether the demand was ever known for long enough to decide by it
     * @param lossSince   since when some zone has been evacuated or silent, or {@link #NEVER}
     * @param zones       by the zone's name
     * @param trends      the arrivals by region
     */
    record PoolState(
            long demandSince,
            boolean isObserved,
            long lossSince,
            Map<String, ZoneState> zones,
            Map<String, ArrivalTrend> trends) {
        static final PoolState NONE = new PoolState(NEVER, false, NEVER, Map.of(), Map.of());

        PoolState {
            zones = Map.copyOf(zones);
            trends = Map.copyOf(trends);
        }
    }

    /**
     * What is remembered of a pool in a zone.
     *
     * @param region      the zone's region
     * @param target      the count that is wanted, once one was decided
     * @param raisedAt    when it was last raised, or {@link #NEVER}
     * @param excessSince  since when fewer workers would have been enough, or {@link #NEVER}
     * @param peakSufficient        the most that would have been enough since then
     * @param hasGateways whether a gateway of the zone ever reported
     */
    record ZoneState(
            String region,
            Optional<WorkerTarget> target,
            long raisedAt,
            long excessSince,
            int peakSufficient,
            boolean hasGateways) {
        static ZoneState in(final String region) {
            return new ZoneState(region, Optional.empty(), NEVER, NEVER, 0, false);
        }

        ZoneState raisedTo(final WorkerTarget higher, final long now) {
            return new ZoneState(region, Optional.of(higher), now, NEVER, 0, hasGateways);
        }

        ZoneState loweredTo(final WorkerTarget lower, final int sufficient, final long now) {
            return new ZoneState(region, Optional.of(lower), raisedAt, now, sufficient, hasGateways);
        }

        /** All workers are needed, or it isn't known that they aren't. */
        ZoneState withoutExcess() {
            return new ZoneState(region, target, raisedAt, NEVER, 0, hasGateways);
        }

        /** Fewer workers would be enough now. */
        ZoneState withExcess(final int sufficient, final long now) {
            return excessSince == NEVER
                    ? new ZoneState(region, target, raisedAt, now, sufficient, hasGateways)
                    : new ZoneState(
                            region, target, raisedAt, excessSince, Math.max(peakSufficient, sufficient), hasGateways);
        }

        ZoneState withGateways(final boolean isReporting) {
            return new ZoneState(region, target, raisedAt, excessSince, peakSufficient, hasGateways || isReporting);
        }
    }
}
