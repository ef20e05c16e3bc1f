package silverlatch.scaling;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import silverlatch.gossip.Worker;
import silverlatch.scaling.ScalingState.PoolState;
import silverlatch.scaling.ScalingState.ZoneState;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;
import silverlatch.util.Numbers;

/** One scaling decision for one pool. */
final class PoolDecision {
    /** How long the demand must be known before a decision is based on it. */
    static final long OBSERVATION_MICROS = 4_000_000L;

    /** How long fewer workers must have been sufficient before a worker count that was never raised is lowered. */
    static final long LOWER_DELAY_MICROS = 4_000_000L;

    /**
     * The same for a worker count that was raised before. It is longer than a wave of the demand, so that the count
     * doesn't go down and up with each wave.
     */
    static final long LOWER_DELAY_AFTER_RAISE_MICROS = 30_000_000L;

    /** The minimum time between two raises of a worker count, unless many workers are missing. */
    static final long RAISE_INTERVAL_MICROS = 3_000_000L;

    /** How long the loss of a zone prevents the worker counts of the other zones from being lowered. */
    static final long LOSS_HOLD_MICROS = 60_000_000L;

    /**
     * The fraction of its slots and of its cache that a worker should use after the worst loss. It is small because the
     * running requests share a worker's processor: they slow each other down, so that latency targets are missed long
     * before slots or cache are full.
     */
    private static final double TARGET_UTILIZATION = 0.35;

    /**
     * The worker count is raised when workers would use more than this fraction. The gap to the target utilization
     * prevents random variation from changing worker counts.
     */
    private static final double MAX_UTILIZATION = 0.5;

    /** The time from a change in demand until a decision is made, sent and executed. */
    private static final long REACTION_MICROS = 2_000_000L;

    /** A worker count is lowered to no less than this fraction of itself in one step. */
    private static final double MIN_LOWER_RATIO = 0.5;

    private static final double URGENT_RAISE_RATIO = 1.25;
    private static final double MIN_REPORTING_RATIO = 0.75;

    /** Worker counts are rounded up; an excess above an integer of at most this size is ignored. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Value.PoolScaling bounds;
    private final Value.BackendPool pool;
    private final PoolState previous;
    private final ScalingObservation observation;
    private final long now;
    private final Map<String, Integer> liveWorkers;
    private final Map<String, String> regionByZone = new TreeMap<>();
    private final Map<String, String> usableZones;
    private final Map<String, Load> demandByRegion;
    private final LoadMap loads;

    PoolDecision(
            final Value.PoolScaling bounds,
            final PoolState previous,
            final ScalingObservation observation,
            final long now) {
        this.bounds = bounds;
        this.pool = observation.pools().get(bounds.pool());
        this.previous = previous;
        this.observation = observation;
        this.now = now;
        previous.zones().forEach((zone, state) -> regionByZone.put(zone, state.region()));
        observation.workers().stream()
                .filter(worker -> worker.pool().equals(bounds.pool()))
                .forEach(worker -> regionByZone.put(worker.zone(), worker.region()));
        this.liveWorkers = observation.workers().stream()
                .filter(worker -> worker.pool().equals(bounds.pool()) && !worker.draining())
                .collect(Collectors.toMap(Worker::zone, worker -> 1, Integer::sum));
        this.usableZones = regionByZone.entrySet().stream()
                .filter(zone -> isUsable(zone.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        this.demandByRegion = observation.demand().stream()
                .collect(Collectors.toMap(
                        GatewayDemand::region, gateway -> Load.of(gateway, bounds.pool()), Load::plus));
        this.loads = new LoadMap(bounds.pool(), observation.demand(), region -> 1, usableZones);
    }

    /** Returns whether the zone's workers get requests. */
    private boolean isUsable(final String zone) {
        return liveWorkers.containsKey(zone) && !observation.evacuatedZones().contains(zone);
    }

    PoolState decide() {
        final long demandSince = sinceIf(isDemandKnown(), previous.demandSince());
        final boolean isObserved =
                previous.isObserved() || demandSince != ScalingState.NEVER && now - demandSince >= OBSERVATION_MICROS;
        final boolean hasLoss = usableZones.size() < regionByZone.size();
        final long lossSince = sinceIf(hasLoss, previous.lossSince());
        final boolean isLossRecent = hasLoss && now - lossSince < LOSS_HOLD_MICROS;
        final Map<String, ArrivalTrend> trends = trends(isObserved);
        final long horizon = bounds.bootMicros() + REACTION_MICROS;
        final LoadMap projected = new LoadMap(
                bounds.pool(),
                observation.demand(),
                region -> trends.get(region).growth(horizon),
                usableZones);
        final boolean mayLower = demandSince != ScalingState.NEVER && !isLossRecent;
        final Map<String, ZoneState> zones = new HashMap<>();
        regionByZone.forEach((zone, region) -> {
            final ZoneState state =
                    Optional.ofNullable(previous.zones().get(zone)).orElseGet(() -> ZoneState.in(region));
            final boolean hasGateways = observation.demand().stream()
                    .anyMatch(gateway -> gateway.zone().equals(zone));
            final boolean mayLowerZone = mayLower && (hasGateways || !state.hasGateways());
            zones.put(
                    zone,
                    decideZone(
                            zone,
                            state.withGateways(hasGateways),
                            isLossRecent
                                    ? projected.ofZone(zone)
                                    : projected.ofZone(zone).plus(projected.addedByWorstLoss(zone)),
                            isObserved,
                            mayLowerZone));
        });
        return new PoolState(demandSince, isObserved, lossSince, zones, trends);
    }

    private long sinceIf(final boolean holds, final long since) {
        if (!holds) {
            return ScalingState.NEVER;
        }
        return since == ScalingState.NEVER ? now : since;
    }

    /**
     * Returns whether enough gateways report demand. If there are no arrivals at all, either reports are missing or
     * traffic hasn't begun.
     */
    private boolean isDemandKnown() {
        return observation.liveGateways() > 0
                && observation.demand().size() >= observation.liveGateways() * MIN_REPORTING_RATIO
                && demandByRegion.values().stream().anyMatch(demand -> demand.arrivals() > 0);
    }

    /**
     * Returns the updated arrival trends. Samples are taken only once the demand has been observed, since the averages
     * rise from zero before.
     */
    private Map<String, ArrivalTrend> trends(final boolean isObserved) {
        final Map<String, ArrivalTrend> trends = new HashMap<>();
        demandByRegion.forEach((region, demand) -> {
            final ArrivalTrend trend = previous.trends().getOrDefault(region, ArrivalTrend.NONE);
            trends.put(region, isObserved ? trend.with(demand.arrivals(), now) : trend);
        });
        return trends;
    }

    private ZoneState decideZone(
            final String zone,
            final ZoneState state,
            final Load load,
            final boolean isObserved,
            final boolean mayLower) {
        if (!isUsable(zone) || bounds.maxWorkers() == 0) {
            return state.withoutExcess();
        }
        final int current = state.target().map(WorkerTarget::count).orElseGet(() -> liveWorkers.get(zone));
        final int sufficient = clamp(load.workers(pool, TARGET_UTILIZATION));
        final int needed = clamp(load.workers(pool, MAX_UTILIZATION));
        if (needed > current) {
            final boolean isDue =
                    now - state.raisedAt() >= RAISE_INTERVAL_MICROS || needed >= current * URGENT_RAISE_RATIO;
            return isObserved && isDue
                    ? state.raisedTo(target(zone, sufficient, load, current), now)
                    : state.withoutExcess();
        }
        if (sufficient >= current || !mayLower) {
            return state.withoutExcess();
        }
        final ZoneState lowerable = state.withExcess(sufficient, now);
        final int step = Math.max(lowerable.peakSufficient(), (int) Math.ceil(current * MIN_LOWER_RATIO));
        final int count = Math.min(step, bounds.maxWorkers());
        return isObserved && now - lowerable.excessSince() >= lowerDelay(state) && count < current
                ? lowerable.loweredTo(target(zone, count, load, current), sufficient, now)
                : lowerable;
    }

    private static long lowerDelay(final ZoneState state) {
        return state.raisedAt() == ScalingState.NEVER ? LOWER_DELAY_MICROS : LOWER_DELAY_AFTER_RAISE_MICROS;
    }

    private int clamp(final double workers) {
        final int most = Math.max(1, bounds.maxWorkers());
        return Numbers.clamp(
                (int) Math.ceil(workers - ROUNDING_TOLERANCE), Math.min(Math.max(1, bounds.minWorkers()), most), most);
    }

    private WorkerTarget target(final String zone, final int count, final Load load, final int current) {
        final Load here = loads.ofZone(zone);
        final String reason = String.format(
                Locale.ROOT,
                "%.1f requests and %.0f tokens open, %.1f/s; with growth and the worst loss %.1f requests; was %d",
                here.requests(),
                here.tokens(),
                here.arrivals(),
                load.requests(),
                current);
        return new WorkerTarget(bounds.pool(), zone, count, reason);
    }
}
