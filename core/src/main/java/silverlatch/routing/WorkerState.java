package silverlatch.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.util.Numbers;

/**
 * What this gateway knows of one worker: its newest report, the gateway's own attempts there, the load that its responses
 * told of, and what its prefix cache likely holds. Owned by the routing event loop; times in microseconds.
 */
final class WorkerState {
    private static final int MAX_CACHED_PARTS = 512;
    private static final long INITIAL_EJECTION_MICROS = 500_000L;
    private static final long MAX_EJECTION_MICROS = 8_000_000L;
    private static final int MAX_EJECTION_DOUBLINGS = 5;
    private static final long OVERDUE_SLACK_MICROS = 150_000L;
    private static final double SMOOTHING = 0.2;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long prefixLifetime;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final LinkedHashMap<Long, Long> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
    private Worker worker;
    private long warmingUpUntil;
    private long ejectedUntil;
    private long lastSentAt = NEVER;
    private long loadReportedAt = NEVER;
    private int running;
    private int waiting;
    private int slots;
    private int consecutiveFailures;
    private boolean isSilent;
    private double latencyFactor = 1;

    /** A worker that was just heard of, whose cache is taken to hold a part of a prompt for so long after its last use. */
    WorkerState(final Gossip.ObservedWorker report, final long prefixLifetime, final long now) {
        this.prefixLifetime = prefixLifetime;
        this.worker = report.worker();
        this.slots = report.worker().slots();
        this.warmingUpUntil = now + report.warmupRemaining(now);
        this.isSilent = report.silent();
    }

    /** Takes a report, if it says anything new. A worker that was restarted has lost its cache. */
    void update(final Gossip.ObservedWorker report, final long now) {
        if (worker.equals(report.worker()) && isSilent == report.silent()) {
            return;
        }
        final long warmupRemaining = report.warmupRemaining(now);
        if (warmupRemaining > 0 && !isWarmingUp(now) || report.worker().incarnation() != worker.incarnation()) {
            cachedParts.clear();
            loadReportedAt = NEVER;
        }
        warmingUpUntil = warmupRemaining > 0 ? now + warmupRemaining : Math.min(warmingUpUntil, now);
        worker = report.worker();
        isSilent = report.silent();
    }

    /** Its newest report. */
    Worker worker() {
        return worker;
    }

    /** Its id. */
    String id() {
        return worker.id();
    }

    /** Whether it warms up, so that it gets few requests. */
    boolean isWarmingUp(final long now) {
        return now < warmingUpUntil;
    }

    /** Whether it is taken last because it is silent or attempts there failed lately. */
    boolean isEjected(final long now) {
        return isSilent || now < ejectedUntil || consecutiveFailures > 0 && !attempts.isEmpty();
    }

    /** Ejects it for the microseconds from now on, at least. */
    void ejectFor(final long time, final long now) {
        ejectedUntil = Math.max(ejectedUntil, now + time);
    }

    /** An attempt begins that has to prefill so many tokens and is predicted to take so long to its first event. */
    void startAttempt(final long attemptId, final LatencyPredictor.Prediction prediction, final long now) {
        attempts.put(attemptId, new Attempt(now, prediction));
        lastSentAt = now;
    }

    /** An attempt has ended. */
    void endAttempt(final long attemptId) {
        attempts.remove(attemptId);
    }

    /** An attempt that is in flight there. */
    Attempt attempt(final long attemptId) {
        return attempts.get(attemptId);
    }

    /** The attempts that are in flight there. */
    Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** How many attempts are in flight there. */
    int attemptCount() {
        return attempts.size();
    }

    /** When a request was last sent there. */
    long lastSentAt() {
        return lastSentAt;
    }

    /** Tokens of this gateway's own requests that it has still to prefill. */
    long pendingPrefillTokens() {
        long tokens = 0;
        for (final Attempt attempt : attempts.values()) {
            tokens += attempt.firstEventSeen ? 0 : attempt.tokensToPrefill;
        }
        return tokens;
    }

    /** By how much the most overdue first event of an attempt there is overdue, in microseconds; 0 with no attempt waiting. */
    long maxOverdue(final long now) {
        long max = Long.MIN_VALUE;
        for (final Attempt attempt : attempts.values()) {
            if (!attempt.firstEventSeen) {
                max = Math.max(max, now - attempt.startedAt - 2 * attempt.predictedLatency - OVERDUE_SLACK_MICROS);
            }
        }
        return max == Long.MIN_VALUE ? 0 : max;
    }

    /** Whether its cache likely holds a part of a prompt, because one with this part went there lately. */
    boolean hasCached(final long partDigest, final long now) {
        final Long lastUsedAt = cachedParts.get(partDigest);
        return lastUsedAt != null && now - lastUsedAt < prefixLifetime;
    }

    /** A prompt with this part goes there. */
    void recordCached(final long partDigest, final long now) {
        cachedParts.put(partDigest, now);
        if (cachedParts.size() > MAX_CACHED_PARTS) {
            cachedParts.remove(cachedParts.keySet().iterator().next());
        }
    }

    /** The first event of an attempt came: it is healthy, and as slow as this attempt shows. */
    void recordSuccess(final Attempt attempt, final long now) {
        consecutiveFailures = 0;
        ejectedUntil = 0;
        final double ratio =
                Numbers.clamp((double) (now - attempt.startedAt) / Math.max(1, attempt.predictedLatency), 0.2, 6);
        latencyFactor = Numbers.clamp(latencyFactor + SMOOTHING * (ratio - 1) * 0.5, 0.5, 4);
    }

    /** An attempt failed: it is ejected, each time for twice as long. */
    void recordFailure(final long now) {
        consecutiveFailures++;
        final int doublings = Math.min(MAX_EJECTION_DOUBLINGS, consecutiveFailures - 1);
        ejectFor(Math.min(MAX_EJECTION_MICROS, INITIAL_EJECTION_MICROS << doublings), now);
    }

    /** A response told of its load. */
    void updateLoad(final Router.ReportedLoad load, final long now) {
        running = load.running();
        waiting = load.waiting();
        slots = Math.max(1, load.slots());
        loadReportedAt = now;
    }

    /** Whether its responses told of its load within the microseconds. */
    boolean hasLoadReport(final long maxAge, final long now) {
        return now - loadReportedAt < maxAge;
    }

    /** Requests that it ran by its newest load report. */
    int running() {
        return running;
    }

    /** Requests that waited there by its newest load report. */
    int waiting() {
        return waiting;
    }

    /** How many requests it can run at once. */
    int slots() {
        return slots;
    }

    /** How much slower it is than predicted, by its recent attempts; 1 is as predicted. */
    double latencyFactor() {
        return latencyFactor;
    }

    /** One attempt of this gateway that is in flight there. */
    static final class Attempt {
        private final long startedAt;
        private final int tokensToPrefill;
        private final long predictedLatency;
        private final PoolLatencyModel.Features features;
        private boolean firstEventSeen;
        private long lastEventAt;

        private Attempt(final long startedAt, final LatencyPredictor.Prediction prediction) {
            this.startedAt = startedAt;
            this.tokensToPrefill = prediction.tokensToPrefill();
            this.predictedLatency = prediction.latency();
            this.features = prediction.features();
            this.lastEventAt = startedAt;
        }

        /** When it was sent. */
        long startedAt() {
            return startedAt;
        }

        /** The predicted time from the start to the first event. */
        long predictedLatency() {
            return predictedLatency;
        }

        /** What its latency was predicted from. */
        PoolLatencyModel.Features features() {
            return features;
        }

        /** Whether its first event came. */
        boolean firstEventSeen() {
            return firstEventSeen;
        }

        /** When its newest event came, or when it was sent. */
        long lastEventAt() {
            return lastEventAt;
        }

        /** An event came; true when it was the first. */
        boolean recordEvent(final long now) {
            final boolean isFirst = !firstEventSeen;
            firstEventSeen = true;
            lastEventAt = now;
            return isFirst;
        }
    }
}
