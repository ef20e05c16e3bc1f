package silverlatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.WeightedScorers;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Selects the worker for a request: draws a pool by weight, ranks the pool's eligible workers by predicted cost, and
 * takes the best one. If the request has no large shared prefix, it instead draws one of the two workers with the
 * fewest attempts in flight among those that are nearly as good as the best (power of two choices). Confined to the
 * routing event loop; times are microseconds.
 */
final class WorkerSelector {
    /** Costs within this fraction of the latency target above the lowest cost count as equal. */
    private static final double NEAR_BEST_RATIO = 0.08;

    private static final int CHOICES = 2;
    private static final int UNREACHABLE_PENALTY_TARGETS = 2;
    private static final int EJECTED_PENALTY_TARGETS = 4;
    private final WorkerTable workers;
    private final TrafficStatistics traffic;
    private final PrefixOwners prefixOwners;
    private final WarmupLimiter warmupLimiter;
    private final WeightedScorers constraints;
    private final RoutingPolicies policies;
    private final LatencyPredictor predictor;
    private final RandomGenerator random;
    private final Map<String, Value.Tenant> tenantsByRoute = new HashMap<>();
    private RoutingTable routingTable = RoutingTable.NONE;
    private ClusterSnapshot cluster;

    /**
     * Creates a selector.
     *
     * @param settings the settings, of which the maximum report age and the enabled policies are used
     */
    WorkerSelector(
            final ClusterSnapshot cluster,
            final WorkerTable workers,
            final TrafficStatistics traffic,
            final WarmupLimiter warmupLimiter,
            final Router.Settings settings,
            final RandomGenerator random) {
        this.cluster = cluster;
        this.workers = workers;
        this.traffic = traffic;
        this.prefixOwners = new PrefixOwners(traffic);
        this.warmupLimiter = warmupLimiter;
        this.constraints = WeightedScorers.constraints(settings.maxReportAge(), Safeguards.ALL);
        this.policies = settings.policies();
        this.predictor = new LatencyPredictor(policies);
        this.random = random;
    }

    /** Applies a newer snapshot of the cluster and its routing table. */
    void update(final ClusterSnapshot next, final RoutingTable table) {
        if (table != routingTable) {
            tenantsByRoute.clear();
        }
        cluster = next;
        routingTable = table;
    }

    /** Draws one of a route's pools by weight; returns an empty name if the route has no pools. */
    String drawPool(final Value.Route route) {
        final List<Value.WeightedBackend> backends = route.backends();
        final int totalWeight =
                backends.stream().mapToInt(Value.WeightedBackend::weight).sum();
        int remaining = totalWeight <= 0 ? 0 : random.nextInt(totalWeight);
        for (final Value.WeightedBackend backend : backends) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.pool();
            }
        }
        return backends.isEmpty() ? "" : backends.get(0).pool();
    }

    /** Returns the workers that are eligible for a request now, best first. Has no side effects. */
    List<Candidate> candidates(final OpenRequest open, final long now) {
        final List<WorkerState> inPool = workers.ofPool(open.pool());
        final List<WorkerState> eligible = eligible(open, inPool, now);
        if (eligible.isEmpty()) {
            return List.of();
        }
        final Set<String> decodeWorkers =
                policies.isEnabled(RoutingPolicy.TRAFFIC_SEPARATION) ? traffic.decodeWorkers(inPool, now) : Set.of();
        final Map<Long, String> owners = policies.isEnabled(RoutingPolicy.PREFIX_OWNERS)
                ? prefixOwners.of(open.request(), eligible, decodeWorkers, cluster)
                : Map.of();
        final Map<String, Boolean> unreachableRegions = new HashMap<>();
        final List<Candidate> candidates = new ArrayList<>(eligible.size());
        for (final WorkerState worker : eligible) {
            final boolean isUnreachable = unreachableRegions.computeIfAbsent(
                    worker.worker().region(),
                    region -> workers.reachabilityOf(worker).isUnreachable(workers.all(), now));
            candidates.add(candidate(open, worker, owners, decodeWorkers, isUnreachable, now));
        }
        candidates.sort(Comparator.comparingLong(Candidate::rankCost));
        return candidates;
    }

    /** Updates the latency model with the first event of an attempt at a worker. */
    void recordFirstEvent(final WorkerState worker, final WorkerState.Attempt attempt, final long now) {
        predictor.observe(worker, attempt, now);
    }

    private List<WorkerState> eligible(final OpenRequest open, final List<WorkerState> inPool, final long now) {
        final PlacementContext context = context(open);
        return inPool.stream()
                .filter(worker -> cluster.workers().containsKey(worker.id()))
                .filter(worker -> constraints.accepts(context, input(worker, now)))
                .filter(worker -> open.tenantAllows(worker.worker().region()))
                .filter(worker -> !open.hasFailedAt(worker.id()))
                .filter(worker -> !worker.isWarmingUp(now) || warmupLimiter.maySend(worker, routingTable, cluster, now))
                .toList();
    }

    private PlacementContext context(final OpenRequest open) {
        final Value.Route route = open.route();
        final Value.Tenant tenant = tenantsByRoute.computeIfAbsent(
                route.name(), name -> new Value.Tenant(name, route.homeRegions(), 1, "", ""));
        return new PlacementContext(
                open.request().requestId(),
                tenant,
                TableRules.defaultRow("*", route.name()),
                List.of(),
                cluster.self().zone(),
                cluster.self().region(),
                cluster.evacuatingZones());
    }

    private PlacementInput input(final WorkerState worker, final long now) {
        final Gossip.ObservedWorker report = cluster.workers().get(worker.id());
        return new PlacementInput(worker.worker(), report.age(now), 0, 0, 0, false, 1);
    }

    private Candidate candidate(
            final OpenRequest open,
            final WorkerState worker,
            final Map<Long, String> owners,
            final Set<String> decodeWorkers,
            final boolean isUnreachable,
            final long now) {
        final LatencyPredictor.Prediction prediction =
                predictor.predict(open.request(), open.route(), worker, cluster.self(), owners, decodeWorkers, now);
        final boolean isEjected = policies.isEnabled(RoutingPolicy.OUTLIER_EJECTION) && worker.isEjected(now);
        final long target = open.route().latencyTargetMicros();
        final long rankCost = prediction.cost()
                + (isUnreachable && policies.isEnabled(RoutingPolicy.UNREACHABLE_REGIONS)
                        ? target * UNREACHABLE_PENALTY_TARGETS
                        : 0)
                + (isEjected ? target * EJECTED_PENALTY_TARGETS : 0);
        return new Candidate(worker, prediction, isEjected, rankCost);
    }

    /** Chooses one of the candidates, which are ordered best first; returns empty if there are none. */
    Optional<Candidate> choose(final OpenRequest open, final List<Candidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        final Candidate best = candidates.get(0);
        if (LatencyPredictor.hasLargeSharedPrefix(open.request().promptParts())
                || !policies.isEnabled(RoutingPolicy.NEAR_BEST_DRAW)) {
            return Optional.of(best);
        }
        final List<Candidate> leastLoaded = candidates.stream()
                .filter(candidate -> isNearBest(candidate, best, open))
                .sorted(Comparator.comparingInt(candidate -> candidate.worker().attemptCount()))
                .limit(CHOICES)
                .toList();
        return Optional.of(leastLoaded.get(random.nextInt(leastLoaded.size())));
    }

    private static boolean isNearBest(final Candidate candidate, final Candidate best, final OpenRequest open) {
        return candidate.isEjected() == best.isEjected()
                && candidate
                        .worker()
                        .worker()
                        .region()
                        .equals(best.worker().worker().region())
                && candidate.prediction().cost()
                        <= best.prediction().cost()
                                + NEAR_BEST_RATIO * open.route().latencyTargetMicros();
    }
}
