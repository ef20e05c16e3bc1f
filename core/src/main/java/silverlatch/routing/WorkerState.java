package silverlatch.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.util.Numbers;

/**
 * The state of one worker as known to this gateway: its newest report, the gateway's own attempts there, the load that
 * its responses reported, and the probable content of its prefix cache. Confined to the routing event loop; times are
 * microseconds.
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

    /**
     * Creates the state of a newly reported worker.
     *
     * @param prefixLifetime for how long after its last use a part of a prompt counts as cached at the worker
     */
    WorkerState(final Gossip.ObservedWorker report, final long prefixLifetime, final long now) {
        this.prefixLifetime = prefixLifetime;
        this.worker = report.worker();
        this.slots = report.worker().slots();
        this.warmingUpUntil = now + report.warmupRemaining(now);
        this.isSilent = report.silent();
    }

    /** Applies a report if it contains anything new. A restarted worker has lost its cache. */
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

    /** Returns the newest report. */
    Worker worker() {
        return worker;
    }

    /** Returns the worker's id. */
    String id() {
        return worker.id();
    }

    /** Returns whether the worker is warming up, so that it gets few requests. */
    boolean isWarmingUp(final long now) {
        return now < warmingUpUntil;
    }

    /**
     * Returns whether other workers are preferred: while this one is silent, for a while after an attempt there failed,
     * and then, until one succeeds, whenever an attempt is in flight there.
     */
    boolean isEjected(final long now) {
        return isSilent || now < ejectedUntil || consecutiveFailures > 0 && !attempts.isEmpty();
    }

    /** Ejects the worker for at least the given time from now on. */
    void ejectFor(final long time, final long now) {
        ejectedUntil = Math.max(ejectedUntil, now + time);
    }

    /** Records an attempt that starts now, with its prediction. */
    void startAttempt(final long attemptId, final LatencyPredictor.Prediction prediction, final long now) {
        attempts.put(attemptId, new Attempt(now, prediction));
        lastSentAt = now;
    }

    /** Removes an attempt that has ended. */
    void endAttempt(final long attemptId) {
        attempts.remove(attemptId);
    }

    /** Returns an attempt that is in flight at the worker. */
    Attempt attempt(final long attemptId) {
        return attempts.get(attemptId);
    }

    /** Returns the attempts that are in flight at the worker. */
    Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** Returns how many attempts are in flight at the worker. */
    int attemptCount() {
        return attempts.size();
    }

    /** Returns when this gateway last sent a request to the worker. */
    long lastSentAt() {
        return lastSentAt;
    }

    /** Returns the number of tokens of this gateway's own requests that the worker still has to prefill. */
    long pendingPrefillTokens() {
        long tokens = 0;
        for (final Attempt attempt : attempts.values()) {
            tokens += attempt.firstEventSeen ? 0 : attempt.tokensToPrefill;
        }
        return tokens;
    }

    /**
     * Returns by how much the most overdue first event of the attempts in flight is overdue; 0 if no attempt waits for
     * its first event. Negative if none is overdue yet.
     */
    long maxOverdue(final long now) {
        long max = Long.MIN_VALUE;
        for (final Attempt attempt : attempts.values()) {
            if (!attempt.firstEventSeen) {
                max = Math.max(max, now - attempt.startedAt - 2 * attempt.predictedLatency - OVERDUE_SLACK_MICROS);
            }
        }
        return max == Long.MIN_VALUE ? 0 : max;
    }

    /**
     * Returns whether the worker's cache probably holds a part of a prompt, because a prompt with this part was sent
     * there recently.
     */
    boolean hasCached(final long partDigest, final long now) {
        final Long lastUsedAt = cachedParts.get(partDigest);
        return lastUsedAt != null && now - lastUsedAt < prefixLifetime;
    }

    /** Records that a prompt with this part is sent to the worker. */
    void recordCached(final long partDigest, final long now) {
        cachedParts.put(partDigest, now);
        if (cachedParts.size() > MAX_CACHED_PARTS) {
            cachedParts.remove(cachedParts.keySet().iterator().next());
        }
    }

    /** Records the first event of an attempt: ends the ejection and updates the latency factor. */
    void recordSuccess(final Attempt attempt, final long now) {
        consecutiveFailures = 0;
        ejectedUntil = 0;
        final double ratio =
                Numbers.clamp((double) (now - attempt.startedAt) / Math.max(1, attempt.predictedLatency), 0.2, 6);
        latencyFactor = Numbers.clamp(latencyFactor + SMOOTHING * (ratio - 1) * 0.5, 0.5, 4);
    }

    /** Records a failed attempt: ejects the worker, for twice as long with each consecutive failure. */
    void recordFailure(final long now) {
        consecutiveFailures++;
        final int doublings = Math.min(MAX_EJECTION_DOUBLINGS, consecutiveFailures - 1);
        ejectFor(Math.min(MAX_EJECTION_MICROS, INITIAL_EJECTION_MICROS << doublings), now);
    }

    /** Records the load that a response reported. */
    void updateLoad(final Router.ReportedLoad load, final long now) {
        running = load.running();
        waiting = load.waiting();
        slots = Math.max(1, load.slots());
        loadReportedAt = now;
    }

    /** Returns whether a response reported the load within the given time before now. */
    boolean hasLoadReport(final long maxAge, final long now) {
        return now - loadReportedAt < maxAge;
    }

    /** Returns how many requests were running at the worker by its newest load report. */
    int running() {
        return running;
    }

    /** Returns how many requests were waiting at the worker by its newest load report. */
    int waiting() {
        return waiting;
    }

    /** Returns how many requests the worker can run at once. */
    int slots() {
        return slots;
    }

    /** Returns how much slower the worker is than predicted, by its recent attempts; 1 means as predicted. */
    double latencyFactor() {
        return latencyFactor;
    }

    /** An attempt of this gateway that is in flight at the worker. */
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

        /** Returns when the attempt was sent. */
        long startedAt() {
            return startedAt;
        }

        /** Returns the predicted time from the start to the first event. */
        long predictedLatency() {
            return predictedLatency;
        }

        /** Returns the inputs from which the latency was predicted. */
        PoolLatencyModel.Features features() {
            return features;
        }

        /** Returns whether the first event has arrived. */
        boolean firstEventSeen() {
            return firstEventSeen;
        }

        /** Returns when the newest event arrived, or when the attempt was sent if none has. */
        long lastEventAt() {
            return lastEventAt;
        }

        /** Records an event; returns whether it is the first. */
        boolean recordEvent(final long now) {
            final boolean isFirst = !firstEventSeen;
            firstEventSeen = true;
            lastEventAt = now;
            return isFirst;
        }
    }
}
