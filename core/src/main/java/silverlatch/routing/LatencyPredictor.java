package silverlatch.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.state.Value;

/**
 * Foretells when a worker would send the first event of a ticket: the way there and back, what it still has to read of
 * others, what it has to read of this prompt (each token costs the more the more stand before it), and how full it is.
 * While a worker reads a long prompt the streams it writes pause, so each stream there is counted against it. Microseconds.
 */
final class LatencyPredictor {
    static final double PREFILL_MICROS_PER_TOKEN = 27;
    private static final double ATTENTION_MICROS_PER_TOKEN_PAIR = 0.0012;
    private static final double PREFILL_PAUSE_MICROS = 60_000;
    private static final double FULL_PAUSE_TOKENS = 8_000;
    private static final int MAX_PAUSED_STREAMS = 16;
    private static final long BASE_MICROS = 55_000;
    private static final long MICROS_PER_WAITING_REQUEST = 30_000;
    private static final long CROSS_REGION_MICROS = 72_000;
    private static final long CROSS_ZONE_MICROS = 1_500;
    private static final double CACHED_RATIO_AT_OWNER = 0.9;
    private static final double CACHED_RATIO_ELSEWHERE = 0.15;
    private static final long LOAD_REPORT_LIFETIME_MICROS = 1_500_000L;
    private static final long CROSS_REGION_PENALTY_MICROS = 25_000;
    private static final long MIXED_TRAFFIC_PENALTY_MICROS = 200_000;
    private static final int MIN_SHARED_TOKENS = 512;

    private LatencyPredictor() {}

    /** What is foretold: when the first event comes, and what the choice costs beside it. */
    record Prediction(long latency, long cost, int tokensToPrefill) {}

    static Prediction predict(
            final RoutedRequest request,
            final Value.Route route,
            final WorkerState worker,
            final String zone,
            final String region,
            final Map<Long, String> prefixOwners,
            final Set<String> decodeWorkers,
            final long now) {
        final boolean isRemote = !worker.worker.region().equals(region);
        final int tokensToPrefill = tokensToPrefill(request, worker, prefixOwners, now);
        final double prefill = (tokensToPrefill
                                * (PREFILL_MICROS_PER_TOKEN
                                        + ATTENTION_MICROS_PER_TOKEN_PAIR
                                                * (request.promptTokens() - tokensToPrefill / 2.0))
                        + worker.pendingPrefillTokens() * PREFILL_MICROS_PER_TOKEN)
                * worker.latencyFactor;
        final boolean hasLoadReport = now - worker.loadReportedAt < LOAD_REPORT_LIFETIME_MICROS;
        final double utilization = Math.max(
                hasLoadReport ? (double) worker.running / worker.slots : 0,
                (double) worker.attempts.size() / worker.slots);
        final long queue = hasLoadReport ? worker.waiting * MICROS_PER_WAITING_REQUEST : 0;
        final long network =
                isRemote ? CROSS_REGION_MICROS : worker.worker.zone().equals(zone) ? 0 : CROSS_ZONE_MICROS;
        final long latency = Math.round(network
                + BASE_MICROS * worker.latencyFactor
                + prefill
                + queue
                + utilization * 60_000
                + Math.max(0, utilization - 0.8) * 2_000_000);
        final boolean mixesTraffic = !decodeWorkers.isEmpty()
                && decodeWorkers.contains(worker.worker.id()) == TrafficStatistics.isLongPrompt(request);
        final int streams = Math.max(hasLoadReport ? worker.running : 0, worker.attempts.size());
        final long pausePenalty = TrafficStatistics.isLongPrompt(request)
                ? Math.min(MAX_PAUSED_STREAMS, streams)
                        * Math.round(PREFILL_PAUSE_MICROS * Math.min(1, tokensToPrefill / FULL_PAUSE_TOKENS))
                : 0;
        final long penalty = (isRemote ? CROSS_REGION_PENALTY_MICROS : 0)
                + (mixesTraffic ? MIXED_TRAFFIC_PENALTY_MICROS : 0)
                + pausePenalty
                + Math.max(0, worker.maxOverdue(now)) * 2
                + (worker.isWarmingUp(now) ? route.latencyTargetMicros() / 2 : 0);
        return new Prediction(latency, latency + penalty, tokensToPrefill);
    }

    /** The tokens a worker has likely still to read of a prompt. */
    static int tokensToPrefill(
            final RoutedRequest request,
            final WorkerState worker,
            final Map<Long, String> prefixOwners,
            final long now) {
        double tokens = 0;
        double cachedRatio = 1;
        for (int i = 0; i < request.promptParts().size(); i++) {
            final RoutedRequest.PromptPart part = request.promptParts().get(i);
            final boolean isLast = i + 1 == request.promptParts().size();
            cachedRatio = Math.min(
                    cachedRatio,
                    isLast && !worker.hasCached(part.digest(), now)
                            ? 0
                            : worker.hasCached(part.digest(), now)
                                    ? 1
                                    : worker.worker.id().equals(prefixOwners.get(part.digest()))
                                            ? CACHED_RATIO_AT_OWNER
                                            : CACHED_RATIO_ELSEWHERE);
            tokens += part.tokens() * (1 - cachedRatio);
        }
        return (int) Math.round(request.promptParts().isEmpty() ? request.promptTokens() : tokens);
    }

    /** Whether a prompt's shared parts are large enough to be kept together. */
    static boolean hasLargeSharedPrefix(final List<RoutedRequest.PromptPart> parts) {
        return parts.size() > 1
                && parts.subList(0, parts.size() - 1).stream()
                                .mapToInt(RoutedRequest.PromptPart::tokens)
                                .sum()
                        >= MIN_SHARED_TOKENS;
    }

    /** The name of a prompt's longest run of shared parts. */
    static long sharedPrefixKey(final RoutedRequest request) {
        return request.promptParts().get(request.promptParts().size() - 2).digest();
    }

    static long rendezvousHash(final long seed, final String name) {
        long hash = 0xCBF29CE484222325L ^ seed;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
        }
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }
}
