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
    static final int LONG = 2_048;

    private static final long WINDOW = 45_000_000L;
    private static final double WRITERS = 0.4;
    private static final double OFTEN = 6;
    private static final int MOST = 4_096;
    private final Deque<Seen> seen = new ArrayDeque<>();
    private final Map<Long, Integer> keys = new HashMap<>();
    private final Map<String, Kind> kinds = new HashMap<>();

    private record Seen(long key, long at) {}

    /** When a rule last brought a long prompt and a short one, and its homes. */
    private record Kind(long longAt, long shortAt, List<String> homes) {
        boolean at(final String region) {
            return homes.isEmpty() || homes.contains(region);
        }
    }

    static boolean lengthy(final RoutedRequest fare) {
        return fare.in() >= LONG;
    }

    void note(final RoutedRequest fare, final Value.Route rule, final long now) {
        final Kind old =
                kinds.getOrDefault(rule.name(), new Kind(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, rule.homeRegions()));
        kinds.put(
                rule.name(),
                new Kind(lengthy(fare) ? now : old.longAt(), lengthy(fare) ? old.shortAt() : now, rule.homeRegions()));
        if (LatencyPredictor.worth(fare.parts())) {
            final long key = LatencyPredictor.key(fare);
            seen.add(new Seen(key, now));
            keys.merge(key, 1, Integer::sum);
        }
        while (!seen.isEmpty() && (now - seen.peek().at() > WINDOW || seen.size() > MOST)) {
            keys.computeIfPresent(seen.poll().key(), (k, n) -> n > 1 ? n - 1 : null);
        }
        if (kinds.size() > MOST) {
            kinds.values().removeIf(k -> now - k.longAt() > WINDOW && now - k.shortAt() > WINDOW);
        }
    }

    /** Whether the shared parts that come by are used often enough in this region to be kept here too. */
    boolean often(final int gateways) {
        final double all = seen.size();
        final double kinds = all * all / (2 * Math.max(1, all - keys.size()));
        return all * gateways / Math.max(1, kinds) >= OFTEN;
    }

    /** The workers of each region that write long replies where both kinds of work come by; the others read. */
    Set<String> writers(final List<WorkerState> pool, final long now) {
        final Map<String, List<WorkerState>> regions =
                pool.stream().filter(s -> !s.worker.draining()).collect(Collectors.groupingBy(s -> s.worker.region()));
        return regions.entrySet().stream()
                .filter(e -> e.getValue().size() > 1 && both(e.getKey(), now))
                .flatMap(e -> e.getValue().stream()
                        .sorted(Comparator.comparingLong((WorkerState s) -> LatencyPredictor.draw(11, s.worker.id())))
                        .limit(Numbers.clamp(
                                Math.round(e.getValue().size() * WRITERS),
                                1,
                                e.getValue().size() - 1)))
                .map(s -> s.worker.id())
                .collect(Collectors.toSet());
    }

    private boolean both(final String region, final long now) {
        return kinds.values().stream().anyMatch(k -> k.at(region) && now - k.longAt() < WINDOW)
                && kinds.values().stream().anyMatch(k -> k.at(region) && now - k.shortAt() < WINDOW);
    }
}
