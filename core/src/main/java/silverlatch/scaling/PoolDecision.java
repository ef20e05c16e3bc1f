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

/** One decision on one pool. */
final class PoolDecision {
    /** For so long the demand has to be known before anything is decided by it. */
    static final long OBSERVATION_MICROS = 4_000_000L;

    /** For so long fewer workers have to be enough before a count is lowered that never had to be raised. */
    static final long LOWER_AFTER_MICROS = 4_000_000L;

    /** The same once it had to be raised: longer than a wave of the demand, so that the count doesn't go down and up with each. */
    static final long LOWER_AFTER_RAISE_MICROS = 30_000_000L;

    /** Counts aren't raised more often than this, unless much is missing. */
    static final long RAISE_INTERVAL_MICROS = 3_000_000L;

    /** A zone that has been lost for longer holds the counts of the others no more. */
    static final long LOSS_MICROS = 60_000_000L;

    /**
     * The part of its slots and of its cache that a worker is to have in use after the worst loss. It is small, as the running requests share a
     * worker's processor: they slow each other down, and the latency targets are missed, long before slots or cache are full.
     */
    private static final double TARGET_UTILIZATION = 0.35;

    /** When workers would have more than this in use, their count is raised; the distance keeps chance from moving counts. */
    private static final double MAX_UTILIZATION = 0.5;

    /** How long it takes until a decision is made, ordered and begun. */
    private static final long REACTION_MICROS = 2_000_000L;

    /** A count falls to no less than this part of itself in one step. */
    private static final double MAX_LOWER_STEP = 0.5;

    private static final double MUCH = 1.25;
    private static final double MOST_GATEWAYS = 0.75;

    /** Counts are wholes; what is a hair above one is one. */
    private static final double ROUNDING = 1e-6;

    private final Value.PoolScaling bounds;
    private final Value.BackendPool pool;
    private final PoolState before;
    private final ScalingObservation seen;
    private final long now;
    private final Map<String, Integer> liveWorkers;
    private final Map<String, String> regions = new TreeMap<>();
    private final Map<String, String> usableRegions;
    private final Map<String, Load> demandByRegion;
    private final LoadMap loads;

    PoolDecision(
            final Value.PoolScaling bounds, final PoolState before, final ScalingObservation seen, final long now) {
        this.bounds = bounds;
        this.pool = seen.pools().get(bounds.pool());
        this.before = before;
        this.seen = seen;
        this.now = now;
        before.zones().forEach((zone, state) -> regions.put(zone, state.region()));
        seen.workers().stream()
                .filter(worker -> worker.pool().equals(bounds.pool()))
                .forEach(worker -> regions.put(worker.zone(), worker.region()));
        this.liveWorkers = seen.workers().stream()
                .filter(worker -> worker.pool().equals(bounds.pool()) && !worker.draining())
                .collect(Collectors.toMap(Worker::zone, worker -> 1, Integer::sum));
        this.usableRegions = regions.entrySet().stream()
                .filter(zone -> isUsable(zone.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        this.demandByRegion = seen.demand().stream()
                .collect(Collectors.toMap(
                        GatewayDemand::region, gateway -> Load.of(gateway, bounds.pool()), Load::plus));
        this.loads = new LoadMap(bounds.pool(), seen.demand(), region -> 1, usableRegions);
    }

    /** Whether requests are sent to the zone's workers. */
    private boolean isUsable(final String zone) {
        return liveWorkers.containsKey(zone) && !seen.evacuatedZones().contains(zone);
    }

    PoolState decide() {
        final long demandSince = sinceIf(isDemandKnown(), before.demandSince());
        final boolean isObserved =
                before.isObserved() || demandSince != ScalingState.NEVER && now - demandSince >= OBSERVATION_MICROS;
        final boolean hasLoss = usableRegions.size() < regions.size();
        final long lossSince = sinceIf(hasLoss, before.lossSince());
        final boolean isLossNew = hasLoss && now - lossSince < LOSS_MICROS;
        final Map<String, ArrivalTrend> trends = trends(isObserved);
        final long ahead = bounds.bootMicros() + REACTION_MICROS;
        final LoadMap projected = new LoadMap(
                bounds.pool(), seen.demand(), region -> trends.get(region).growth(ahead), usableRegions);
        final boolean mayLower = demandSince != ScalingState.NEVER && !isLossNew;
        final Map<String, ZoneState> zones = new HashMap<>();
        regions.forEach((zone, region) -> {
            final ZoneState state =
                    Optional.ofNullable(before.zones().get(zone)).orElseGet(() -> ZoneState.in(region));
            final boolean hasGateways =
                    seen.demand().stream().anyMatch(gateway -> gateway.zone().equals(zone));
            final boolean mayLowerHere = mayLower && (hasGateways || !state.hasGateways());
            zones.put(
                    zone,
                    decideZone(
                            zone,
                            state.withGateways(hasGateways),
                            isLossNew
                                    ? projected.ofZone(zone)
                                    : projected.ofZone(zone).plus(projected.atWorstLoss(zone)),
                            isObserved,
                            mayLowerHere));
        });
        return new PoolState(demandSince, isObserved, lossSince, zones, trends);
    }

    private long sinceIf(final boolean holds, final long since) {
        if (!holds) {
            return ScalingState.NEVER;
        }
        return since == ScalingState.NEVER ? now : since;
    }

    /** Where nothing at all is asked, figures are missing or traffic hasn't begun. */
    private boolean isDemandKnown() {
        return seen.liveGateways() > 0
                && seen.demand().size() >= seen.liveGateways() * MOST_GATEWAYS
                && demandByRegion.values().stream().anyMatch(demand -> demand.arrivals() > 0);
    }

    /** While the averages still rise from nothing there is no trend. */
    private Map<String, ArrivalTrend> trends(final boolean isObserved) {
        final Map<String, ArrivalTrend> trends = new HashMap<>();
        demandByRegion.forEach((region, demand) -> {
            final ArrivalTrend trend = before.trends().getOrDefault(region, ArrivalTrend.NONE);
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
            return state.kept();
        }
        final int current = state.target().map(WorkerTarget::count).orElseGet(() -> liveWorkers.get(zone));
        final int enough = clamp(load.workers(pool, TARGET_UTILIZATION));
        final int needed = clamp(load.workers(pool, MAX_UTILIZATION));
        if (needed > current) {
            final boolean isDue = now - state.raisedAt() >= RAISE_INTERVAL_MICROS || needed >= current * MUCH;
            return isObserved && isDue ? state.raisedTo(target(zone, enough, load, current), now) : state.kept();
        }
        if (enough >= current || !mayLower) {
            return state.kept();
        }
        final ZoneState lowerable = state.mayBeLowered(enough, now);
        final int step = Math.max(lowerable.peak(), (int) Math.ceil(current * MAX_LOWER_STEP));
        final int count = Math.min(step, bounds.maxWorkers());
        return isObserved && now - lowerable.lowerSince() >= lowerAfter(state) && count < current
                ? lowerable.loweredTo(target(zone, count, load, current), enough, now)
                : lowerable;
    }

    private static long lowerAfter(final ZoneState state) {
        return state.raisedAt() == ScalingState.NEVER ? LOWER_AFTER_MICROS : LOWER_AFTER_RAISE_MICROS;
    }

    private int clamp(final double workers) {
        final int most = Math.max(1, bounds.maxWorkers());
        return Numbers.clamp(
                (int) Math.ceil(workers - ROUNDING), Math.min(Math.max(1, bounds.minWorkers()), most), most);
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
