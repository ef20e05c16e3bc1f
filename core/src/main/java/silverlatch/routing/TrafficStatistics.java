package silverlatch.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import silverlatch.state.Value;
import silverlatch.util.Numbers;

/**
 * Statistics of recent requests, from which all gateways derive the same decisions without communicating: which workers
 * of a region decode long responses while the others prefill long prompts, and whether shared prefixes are reused often
 * enough to be cached in every region. The two kinds of traffic are separated because the streams of a worker pause
 * while it prefills a long prompt. Confined to the routing event loop; times are microseconds.
 */
final class TrafficStatistics {
    /** The size from which a prompt is long: a worker prefills it in more than one step. */
    static final int LONG_PROMPT_TOKENS = 2_048;

    private static final long WINDOW_MICROS = 45_000_000L;
    private static final double DECODE_WORKER_RATIO = 0.4;
    private static final double MIN_USES_PER_PREFIX = 6;
    private static final int MAX_TRACKED = 4_096;
    private static final int HASH_SEED = 11;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final Deque<SharedPrefixUse> recentUses = new ArrayDeque<>();
    private final Map<Long, Integer> usesByPrefix = new HashMap<>();
    private final Map<String, RouteTraffic> trafficByRoute = new HashMap<>();

    private record SharedPrefixUse(long prefixKey, long usedAt) {}

    /** When a route last had a long and a short prompt, and its home regions. */
    private record RouteTraffic(long longPromptAt, long shortPromptAt, List<String> homeRegions) {
        boolean servesRegion(final String region) {
            return homeRegions.isEmpty() || homeRegions.contains(region);
        }

        boolean isOlderThan(final long start) {
            return longPromptAt < start && shortPromptAt < start;
        }
    }

    /** Returns whether the prompt of a request is long. */
    static boolean isLongPrompt(final RoutedRequest request) {
        return request.promptTokens() >= LONG_PROMPT_TOKENS;
    }

    /** Records a request that matched a route. */
    void observe(final RoutedRequest request, final Value.Route route, final long now) {
        final RouteTraffic previous =
                trafficByRoute.getOrDefault(route.name(), new RouteTraffic(NEVER, NEVER, route.homeRegions()));
        final boolean isLong = isLongPrompt(request);
        trafficByRoute.put(
                route.name(),
                new RouteTraffic(
                        isLong ? now : previous.longPromptAt(),
                        isLong ? previous.shortPromptAt() : now,
                        route.homeRegions()));
        if (LatencyPredictor.hasLargeSharedPrefix(request.promptParts())) {
            final long prefixKey = LatencyPredictor.sharedPrefixKey(request);
            recentUses.add(new SharedPrefixUse(prefixKey, now));
            usesByPrefix.merge(prefixKey, 1, Integer::sum);
        }
        evictExpired(now);
    }

    private void evictExpired(final long now) {
        final long windowStart = now - WINDOW_MICROS;
        while (!recentUses.isEmpty() && (recentUses.peek().usedAt() < windowStart || recentUses.size() > MAX_TRACKED)) {
            usesByPrefix.computeIfPresent(
                    recentUses.poll().prefixKey(), (prefixKey, uses) -> uses > 1 ? uses - 1 : null);
        }
        if (trafficByRoute.size() > MAX_TRACKED) {
            trafficByRoute.values().removeIf(traffic -> traffic.isOlderThan(windowStart));
        }
    }

    /**
     * Returns whether recent requests reuse shared prefixes often enough to cache these in a region with the given
     * number of gateways.
     */
    boolean arePrefixesReused(final int gateways) {
        final double uses = recentUses.size();
        final double estimatedPrefixes = uses * uses / (2 * Math.max(1, uses - usesByPrefix.size()));
        return uses * gateways / Math.max(1, estimatedPrefixes) >= MIN_USES_PER_PREFIX;
    }

    /**
     * Returns the ids of the workers of a pool that decode long responses. They are selected in each region that
     * recently had both long and short prompts; the region's other workers prefill long prompts. All gateways select
     * the same workers, by rendezvous hashing.
     */
    Set<String> decodeWorkers(final List<WorkerState> pool, final long now) {
        final Map<String, List<String>> workersByRegion = new TreeMap<>();
        for (final WorkerState worker : pool) {
            if (!worker.worker().draining()) {
                workersByRegion
                        .computeIfAbsent(worker.worker().region(), region -> new ArrayList<>())
                        .add(worker.id());
            }
        }
        final Set<String> decodeWorkers = new HashSet<>();
        workersByRegion.forEach((region, workers) -> {
            if (workers.size() > 1 && hasMixedTraffic(region, now)) {
                final long count =
                        Numbers.clamp(Math.round(workers.size() * DECODE_WORKER_RATIO), 1, workers.size() - 1);
                workers.stream()
                        .sorted(Comparator.comparingLong(id -> LatencyPredictor.rendezvousHash(HASH_SEED, id)))
                        .limit(count)
                        .forEach(decodeWorkers::add);
            }
        });
        return decodeWorkers;
    }

    private boolean hasMixedTraffic(final String region, final long now) {
        return hasTraffic(region, RouteTraffic::longPromptAt, now)
                && hasTraffic(region, RouteTraffic::shortPromptAt, now);
    }

    private boolean hasTraffic(final String region, final ToLongFunction<RouteTraffic> seenAt, final long now) {
        return trafficByRoute.values().stream()
                .anyMatch(traffic -> traffic.servesRegion(region) && now - seenAt.applyAsLong(traffic) < WINDOW_MICROS);
    }
}
