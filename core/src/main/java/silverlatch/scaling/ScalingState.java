package silverlatch.scaling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state that {@link ScalingPolicy} keeps from one decision to the next, including the wanted worker counts.
 *
 * @param pools the state of each pool, by the pool's name
 */
public record ScalingState(Map<String, PoolState> pools) {
    /** The state before the first decision. */
    public static final ScalingState NONE = new ScalingState(Map.of());

    /** A time before all others; differences from it don't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Copies the map. */
    public ScalingState {
        pools = Map.copyOf(pools);
    }

    /** Returns the wanted worker counts, ordered by pool and zone. Zones without a decision are omitted. */
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
     * The state of a pool.
     *
     * @param demandSince since when the demand has been known without interruption, or {@link #NEVER}
     * @param isObserved  whether the demand was ever known for long enough to base decisions on it
     * @param lossSince   since when any zone has been evacuated or silent, or {@link #NEVER}
     * @param zones       the state of each zone, by the zone's name
     * @param trends      the arrival trend of each region, by the region's name
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
     * The state of a pool in a zone.
     *
     * @param region         the zone's region
     * @param target         the wanted worker count, once there was a decision
     * @param raisedAt       when the count was last raised, or {@link #NEVER}
     * @param excessSince    since when fewer workers would have been sufficient, or {@link #NEVER}
     * @param peakSufficient the highest worker count that would have been sufficient since then
     * @param hasGateways    whether a gateway of the zone ever reported
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

        /** Returns the state in which all workers are needed, or may be. */
        ZoneState withoutExcess() {
            return new ZoneState(region, target, raisedAt, NEVER, 0, hasGateways);
        }

        /** Returns the state in which fewer workers are sufficient now. */
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
