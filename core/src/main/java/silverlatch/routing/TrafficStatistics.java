package silverlatch.routing;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.state.Value;
import silverlatch.util.Numbers;

/**
 * What this gateway has seen come by lately, from which all gateways draw the same rules of thumb: which workers of a
 * region read long prompts and which write long replies, and whether a prompt's parts come up often enough to be kept in
 * every region. While a worker reads a long prompt, its streams pause; so the two are kept apart.
 */
final class TrafficStatistics {
    /** A prompt of so many tokens is long: reading it takes a worker more than one piece. */
    static final int LONG_PROMPT_TOKENS = 2_048;

    private static final long WINDOW_MICROS = 45_000_000L;
    private static final double DECODE_WORKER_RATIO = 0.4;
    private static final double MIN_USES_PER_PREFIX = 6;
    private static final int MAX_TRACKED = 4_096;
    private final Deque<SharedPrefixUse> recentUses = new ArrayDeque<>();
    private final Map<Long, Integer> usesByPrefix = new HashMap<>();
    private final Map<String, RouteTraffic> trafficByRoute = new HashMap<>();

    private record SharedPrefixUse(long prefixKey, long usedAt) {}

    /** When a rule last brought a long prompt and a short one, and its homes. */
    private record RouteTraffic(long longPromptAt, long shortPromptAt, List<String> homes) {
        boolean servesRegion(final String region) {
            return homes.isEmpty() || homes.contains(region);
        }
    }

    static boolean isLongPrompt(final RoutedRequest request) {
        return request.promptTokens() >= LONG_PROMPT_TOKENS;
    }

    void observe(final RoutedRequest request, final Value.Route route, final long now) {
        final RouteTraffic previous = trafficByRoute.getOrDefault(
                route.name(), new RouteTraffic(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, route.homeRegions()));
        trafficByRoute.put(
                route.name(),
                new RouteTraffic(
                        isLongPrompt(request) ? now : previous.longPromptAt(),
                        isLongPrompt(request) ? previous.shortPromptAt() : now,
                        route.homeRegions()));
        if (LatencyPredictor.hasLargeSharedPrefix(request.promptParts())) {
            final long prefixKey = LatencyPredictor.sharedPrefixKey(request);
            recentUses.add(new SharedPrefixUse(prefixKey, now));
            usesByPrefix.merge(prefixKey, 1, Integer::sum);
        }
        while (!recentUses.isEmpty()
                && (now - recentUses.peek().usedAt() > WINDOW_MICROS || recentUses.size() > MAX_TRACKED)) {
            usesByPrefix.computeIfPresent(recentUses.poll().prefixKey(), (k, n) -> n > 1 ? n - 1 : null);
        }
        if (trafficByRoute.size() > MAX_TRACKED) {
            trafficByRoute
                    .values()
                    .removeIf(k -> now - k.longPromptAt() > WINDOW_MICROS && now - k.shortPromptAt() > WINDOW_MICROS);
        }
    }

    /** Whether the shared parts that come by are used often enough in this region to be kept here too. */
    boolean arePrefixesReused(final int gateways) {
        final double uses = recentUses.size();
        final double estimatedPrefixes = uses * uses / (2 * Math.max(1, uses - usesByPrefix.size()));
        return uses * gateways / Math.max(1, estimatedPrefixes) >= MIN_USES_PER_PREFIX;
    }

    /** The workers of each region that write long replies where both kinds of work come by; the others read. */
    Set<String> decodeWorkers(final List<WorkerState> pool, final long now) {
        final Map<String, List<WorkerState>> workersByRegion =
                pool.stream().filter(s -> !s.worker.draining()).collect(Collectors.groupingBy(s -> s.worker.region()));
        return workersByRegion.entrySet().stream()
                .filter(e -> e.getValue().size() > 1 && hasMixedTraffic(e.getKey(), now))
                .flatMap(e -> e.getValue().stream()
                        .sorted(Comparator.comparingLong(
                                (WorkerState s) -> LatencyPredictor.rendezvousHash(11, s.worker.id())))
                        .limit(Numbers.clamp(
                                Math.round(e.getValue().size() * DECODE_WORKER_RATIO),
                                1,
                                e.getValue().size() - 1)))
                .map(s -> s.worker.id())
                .collect(Collectors.toSet());
    }

    private boolean hasMixedTraffic(final String region, final long now) {
        return trafficByRoute.values().stream()
                        .anyMatch(k -> k.servesRegion(region) && now - k.longPromptAt() < WINDOW_MICROS)
                && trafficByRoute.values().stream()
                        .anyMatch(k -> k.servesRegion(region) && now - k.shortPromptAt() < WINDOW_MICROS);
    }
}
