package silverlatch.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.util.Numbers;

/** What this gateway knows of one worker by its own runs there and the worker's replies. One duty owns it. */
final class WorkerState {
    private static final int MAX_CACHED_PARTS = 512;
    private static final long CACHE_LIFETIME_MICROS = 45_000_000L;
    private static final long INITIAL_EJECTION_MICROS = 500_000L;
    private static final long MAX_EJECTION_MICROS = 8_000_000L;
    private static final double SMOOTHING = 0.2;
    final Map<Long, Attempt> attempts = new HashMap<>();
    private final LinkedHashMap<Long, Long> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
    Worker worker;
    long warmingUpUntil;
    long ejectedUntil;
    long lastSentAt = Long.MIN_VALUE / 2;
    long loadReportedAt = Long.MIN_VALUE / 2;
    int running;
    int waiting;
    int slots;
    int consecutiveFailures;
    boolean silent;
    double latencyFactor = 1;

    WorkerState(final Gossip.ObservedWorker report, final long now) {
        this.worker = report.worker();
        this.slots = report.worker().slots();
        this.warmingUpUntil = now + report.warmupRemaining(now);
        this.silent = report.silent();
    }

    /** One run of this gateway under way there. */
    static final class Attempt {
        final long startedAt;
        final int tokensToPrefill;
        final long predictedLatency;
        boolean firstEventSeen;
        long lastEventAt;

        Attempt(final long startedAt, final int tokensToPrefill, final long predictedLatency) {
            this.startedAt = startedAt;
            this.tokensToPrefill = tokensToPrefill;
            this.predictedLatency = predictedLatency;
            this.lastEventAt = startedAt;
        }
    }

    void update(final Gossip.ObservedWorker report, final long now) {
        final long warmUpLeft = report.warmupRemaining(now);
        if (warmUpLeft > 0 && !isWarmingUp(now) || report.worker().incarnation() != worker.incarnation()) {
            cachedParts.clear();
            loadReportedAt = Long.MIN_VALUE / 2;
        }
        warmingUpUntil = warmUpLeft > 0 ? now + warmUpLeft : Math.min(warmingUpUntil, now);
        worker = report.worker();
        silent = report.silent();
    }

    boolean isWarmingUp(final long now) {
        return now < warmingUpUntil;
    }

    boolean isEjected(final long now) {
        return silent || now < ejectedUntil || consecutiveFailures > 0 && attempts.size() > 0;
    }

    /** Tokens of my own runs there that it has still to read. */
    long pendingPrefillTokens() {
        return attempts.values().stream()
                .filter(r -> !r.firstEventSeen)
                .mapToLong(r -> r.tokensToPrefill)
                .sum();
    }

    /** By how much the most silent run there is overdue. */
    long maxOverdue(final long now) {
        return attempts.values().stream()
                .filter(r -> !r.firstEventSeen)
                .mapToLong(r -> now - r.startedAt - 2 * r.predictedLatency - 150_000L)
                .max()
                .orElse(0);
    }

    /** What share of a part it likely keeps, by what went there before. */
    boolean hasCached(final long part, final long now) {
        final Long lastUsedAt = cachedParts.get(part);
        return lastUsedAt != null && now - lastUsedAt < CACHE_LIFETIME_MICROS;
    }

    void recordCached(final long part, final long now) {
        cachedParts.put(part, now);
        if (cachedParts.size() > MAX_CACHED_PARTS) {
            cachedParts.remove(cachedParts.keySet().iterator().next());
        }
    }

    void recordSuccess(final Attempt attempt, final long now) {
        consecutiveFailures = 0;
        ejectedUntil = 0;
        final double ratio =
                Numbers.clamp((double) (now - attempt.startedAt) / Math.max(1, attempt.predictedLatency), 0.2, 6);
        latencyFactor = Numbers.clamp(latencyFactor + SMOOTHING * (ratio - 1) * 0.5, 0.5, 4);
    }

    void recordFailure(final long now) {
        consecutiveFailures++;
        ejectedUntil = Math.max(
                ejectedUntil,
                now + Math.min(MAX_EJECTION_MICROS, INITIAL_EJECTION_MICROS << Math.min(5, consecutiveFailures - 1)));
    }

    void updateLoad(final int newRunning, final int newWaiting, final int newSlots, final long now) {
        running = newRunning;
        waiting = newWaiting;
        slots = Math.max(1, newSlots);
        loadReportedAt = now;
    }
}
