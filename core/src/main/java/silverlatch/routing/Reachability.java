package silverlatch.routing;

import java.util.Collection;

/**
 * Whether a region's workers are heard from here. Where requests wait there past what was predicted and none of its workers
 * has sent anything since, or where a connection there fails, the region counts as unreachable until a worker there answers
 * or the backoff is over. Owned by the routing event loop; times in microseconds.
 */
final class Reachability {
    private static final long SLACK_MICROS = 200_000L;
    private static final long INITIAL_BACKOFF_MICROS = 500_000L;
    private static final long MAX_BACKOFF_MICROS = 4_000_000L;
    private static final int MAX_DOUBLINGS = 4;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final String region;
    private long lastResponseAt = NEVER;
    private long unreachableUntil = NEVER;
    private int connectFailures;

    Reachability(final String region) {
        this.region = region;
    }

    /** A worker there answered. */
    void recordResponse(final long now) {
        lastResponseAt = now;
        connectFailures = 0;
        unreachableUntil = NEVER;
    }

    /** A connection there could not be made; each time in a row the region counts as unreachable for twice as long. */
    void recordConnectFailure(final long now) {
        if (now - lastResponseAt > SLACK_MICROS) {
            final long backoff = INITIAL_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, connectFailures);
            unreachableUntil = now + Math.min(MAX_BACKOFF_MICROS, backoff);
            connectFailures++;
        }
    }

    /** Whether the region counts as unreachable, given all workers that are known. */
    boolean isUnreachable(final Collection<WorkerState> workers, final long now) {
        return now < unreachableUntil
                || workers.stream()
                        .filter(worker -> worker.worker().region().equals(region))
                        .flatMap(worker -> worker.attempts().stream())
                        .anyMatch(attempt -> isOverdue(attempt, now));
    }

    private boolean isOverdue(final WorkerState.Attempt attempt, final long now) {
        final long predicted = attempt.predictedLatency();
        return !attempt.firstEventSeen()
                && attempt.startedAt() > lastResponseAt
                && now - attempt.startedAt() > predicted + predicted / 2 + SLACK_MICROS;
    }
}
