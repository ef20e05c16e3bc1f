package silverlatch.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.membership.Member;
import silverlatch.state.Value;
import silverlatch.util.Fnv1a;

/**
 * Predicts how long a worker takes to send the first event of a request. The prediction covers the network round trip,
 * the tokens that the worker still has to prefill for other requests, the tokens of this prompt that it has to prefill
 * (a token takes longer the more tokens precede it), and its utilization. While a worker prefills a long prompt, the
 * streams that it decodes pause; therefore a long prompt costs more at a worker with many streams. Each pool has its
 * own {@link PoolLatencyModel}, which is fitted to the observed latencies. Confined to the routing event loop; times
 * are microseconds.
 */
final class LatencyPredictor {
    /** By which fraction of its own prefill time a token takes longer for each token that precedes it. */
    private static final double ATTENTION_PER_TOKEN = 4.4e-5;

    private static final double MAX_PREFILL_PAUSE_MICROS = 60_000;
    private static final double MAX_PAUSE_TOKENS = 8_000;
    private static final int MAX_PAUSED_STREAMS = 16;
    private static final long MICROS_PER_WAITING_REQUEST = 30_000;
    private static final long FULL_UTILIZATION_MICROS = 60_000;
    private static final long OVERLOAD_MICROS = 2_000_000;
    private static final double OVERLOAD_UTILIZATION = 0.8;
    private static final long CROSS_ZONE_MICROS = 1_500;
    private static final double CACHED_RATIO_AT_OWNER = 0.9;
    private static final double CACHED_RATIO_ELSEWHERE = 0.15;
    private static final long LOAD_REPORT_LIFETIME_MICROS = 1_500_000L;
    private static final long CROSS_REGION_PENALTY_MICROS = 25_000;
    private static final long MIXED_TRAFFIC_PENALTY_MICROS = 200_000;
    private static final int OVERDUE_PENALTY_FACTOR = 2;
    private static final int MIN_SHARED_TOKENS = 512;

    private final RoutingPolicies policies;
    private final Map<String, PoolLatencyModel> modelsByPool = new HashMap<>();

    /** Creates a predictor that applies the enabled policies only. */
    LatencyPredictor(final RoutingPolicies policies) {
        this.policies = policies;
    }

    /**
     * The prediction for one request at one worker.
     *
     * @param latency         the predicted time until the first event, in microseconds
     * @param cost            the latency plus the penalties for choosing this worker, in microseconds
     * @param tokensToPrefill the number of prompt tokens that are probably not in the worker's cache
     * @param features        the inputs that the latency was predicted from
     */
    record Prediction(long latency, long cost, int tokensToPrefill, PoolLatencyModel.Features features) {}

    /**
     * Predicts the latency and cost of a request at a worker, as seen from a gateway.
     *
     * @param prefixOwners  the id of the worker that should cache each shared part of the prompt, by the part's digest
     * @param decodeWorkers the ids of the workers that should not get long prompts
     */
    Prediction predict(
            final RoutedRequest request,
            final Value.Route route,
            final WorkerState worker,
            final Member gateway,
            final Map<Long, String> prefixOwners,
            final Set<String> decodeWorkers,
            final long now) {
        final int tokensToPrefill = tokensToPrefill(request, worker, prefixOwners, now);
        final boolean hasLoadReport = worker.hasLoadReport(LOAD_REPORT_LIFETIME_MICROS, now);
        final double utilization = Math.max(
                hasLoadReport ? (double) worker.running() / worker.slots() : 0,
                (double) worker.attemptCount() / worker.slots());
        final long queue = hasLoadReport ? worker.waiting() * MICROS_PER_WAITING_REQUEST : 0;
        final PoolLatencyModel model = modelOf(worker);
        final PoolLatencyModel.Features features = new PoolLatencyModel.Features(
                latencyFactor(worker),
                prefillTokens(request, worker, tokensToPrefill),
                isRemote(worker, gateway),
                crossZoneMicros(worker, gateway)
                        + queue
                        + utilization * FULL_UTILIZATION_MICROS
                        + Math.max(0, utilization - OVERLOAD_UTILIZATION) * OVERLOAD_MICROS);
        final long latency = Math.round(model.predictMicros(features));
        final int streams = Math.max(hasLoadReport ? worker.running() : 0, worker.attemptCount());
        final long penalty = ifEnabled(
                        RoutingPolicy.CROSS_REGION_PENALTY, isRemote(worker, gateway) ? CROSS_REGION_PENALTY_MICROS : 0)
                + (mixesTraffic(request, worker, decodeWorkers) ? MIXED_TRAFFIC_PENALTY_MICROS : 0)
                + ifEnabled(RoutingPolicy.PAUSE_PENALTY, pausePenalty(request, tokensToPrefill, streams))
                + ifEnabled(RoutingPolicy.OVERDUE_PENALTY, Math.max(0, worker.maxOverdue(now)) * OVERDUE_PENALTY_FACTOR)
                + ifEnabled(
                        RoutingPolicy.WARMUP_PENALTY, worker.isWarmingUp(now) ? route.latencyTargetMicros() / 2 : 0);
        return new Prediction(latency, latency + penalty, tokensToPrefill, features);
    }

    /** Returns the penalty if the policy is enabled, else 0. */
    private long ifEnabled(final RoutingPolicy policy, final long micros) {
        return policies.isEnabled(policy) ? micros : 0;
    }

    private double latencyFactor(final WorkerState worker) {
        return policies.isEnabled(RoutingPolicy.LATENCY_FACTOR) ? worker.latencyFactor() : 1;
    }

    private static boolean isRemote(final WorkerState worker, final Member gateway) {
        return !worker.worker().region().equals(gateway.region());
    }

    private static long crossZoneMicros(final WorkerState worker, final Member gateway) {
        final boolean isRemoteOrSameZone =
                isRemote(worker, gateway) || worker.worker().zone().equals(gateway.zone());
        return isRemoteOrSameZone ? 0 : CROSS_ZONE_MICROS;
    }

    /**
     * Fits the model of the worker's pool to the first event of an attempt, which arrived now. Does nothing while the
     * worker is warming up.
     */
    void observe(final WorkerState worker, final WorkerState.Attempt attempt, final long now) {
        if (policies.isEnabled(RoutingPolicy.OBSERVED_LATENCY) && !worker.isWarmingUp(now)) {
            modelOf(worker).observe(attempt.features(), now - attempt.startedAt());
        }
    }

    private PoolLatencyModel modelOf(final WorkerState worker) {
        return modelsByPool.computeIfAbsent(worker.worker().pool(), pool -> new PoolLatencyModel());
    }

    /**
     * Returns the tokens to prefill before the first event: those of this prompt, weighted by how much longer they take
     * because of the tokens that precede them, plus those that are pending for other requests of this gateway.
     */
    private double prefillTokens(final RoutedRequest request, final WorkerState worker, final int tokensToPrefill) {
        final double attention = 1 + ATTENTION_PER_TOKEN * (request.promptTokens() - tokensToPrefill / 2.0);
        final long pending = policies.isEnabled(RoutingPolicy.PREFILL_BACKLOG) ? worker.pendingPrefillTokens() : 0;
        return tokensToPrefill * attention + pending;
    }

    /** Returns whether the request is a long prompt at a worker for decoding, or a short one at a worker for prefilling. */
    private static boolean mixesTraffic(
            final RoutedRequest request, final WorkerState worker, final Set<String> decodeWorkers) {
        return !decodeWorkers.isEmpty()
                && decodeWorkers.contains(worker.id()) == TrafficStatistics.isLongPrompt(request);
    }

    private static long pausePenalty(final RoutedRequest request, final int tokensToPrefill, final int streams) {
        return TrafficStatistics.isLongPrompt(request)
                ? Math.min(MAX_PAUSED_STREAMS, streams)
                        * Math.round(MAX_PREFILL_PAUSE_MICROS * Math.min(1, tokensToPrefill / MAX_PAUSE_TOKENS))
                : 0;
    }

    /** Returns how many tokens of a prompt the worker probably still has to prefill. */
    static int tokensToPrefill(
            final RoutedRequest request,
            final WorkerState worker,
            final Map<Long, String> prefixOwners,
            final long now) {
        if (request.promptParts().isEmpty()) {
            return request.promptTokens();
        }
        double tokens = 0;
        double cachedRatio = 1;
        final int last = request.promptParts().size() - 1;
        for (int i = 0; i <= last; i++) {
            final RoutedRequest.PromptPart part = request.promptParts().get(i);
            cachedRatio = Math.min(cachedRatio, cachedRatio(part, i == last, worker, prefixOwners, now));
            tokens += part.tokens() * (1 - cachedRatio);
        }
        return (int) Math.round(tokens);
    }

    /**
     * Returns which fraction of a part is probably in the worker's cache. The last part is specific to this prompt; the
     * others may be shared with other prompts.
     */
    private static double cachedRatio(
            final RoutedRequest.PromptPart part,
            final boolean isLast,
            final WorkerState worker,
            final Map<Long, String> prefixOwners,
            final long now) {
        if (worker.hasCached(part.digest(), now)) {
            return 1;
        }
        if (isLast) {
            return 0;
        }
        return worker.id().equals(prefixOwners.get(part.digest())) ? CACHED_RATIO_AT_OWNER : CACHED_RATIO_ELSEWHERE;
    }

    /** Returns whether the shared parts of a prompt are large enough to be cached together at one worker. */
    static boolean hasLargeSharedPrefix(final List<RoutedRequest.PromptPart> parts) {
        int sharedTokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            sharedTokens += parts.get(i).tokens();
        }
        return parts.size() > 1 && sharedTokens >= MIN_SHARED_TOKENS;
    }

    /**
     * Returns the digest of the longest prefix that the prompt shares with others. The prompt must have at least two
     * parts.
     */
    static long sharedPrefixKey(final RoutedRequest request) {
        return request.promptParts().get(request.promptParts().size() - 2).digest();
    }

    /**
     * Returns a hash of a name (FNV-1a, then the finalizer of SplitMix64). All gateways compute the same rendezvous
     * ranking from it.
     */
    static long rendezvousHash(final long seed, final String name) {
        long hash = Fnv1a.hash(name, seed);
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }
}
