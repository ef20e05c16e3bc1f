package silverlatch.routing;

import java.util.Collection;

/**
 * Tracks whether the workers of a region can be reached from this gateway. The region counts as unreachable when the
 * first event of a request there is overdue and none of its workers has responded since the request was sent, or when
 * connecting to one of its workers fails. It counts as reachable again when a worker there responds or the backoff has
 * elapsed. Confined to the routing event loop; times are microseconds.
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

    /** Records that a worker of the region responded. */
    void recordResponse(final long now) {
        lastResponseAt = now;
        connectFailures = 0;
        unreachableUntil = NEVER;
    }

    /**
     * Records that connecting to a worker of the region failed; ignored shortly after a response. The backoff doubles
     * with each consecutive failure.
     */
    void recordConnectFailure(final long now) {
        if (now - lastResponseAt > SLACK_MICROS) {
            final long backoff = INITIAL_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, connectFailures);
            unreachableUntil = now + Math.min(MAX_BACKOFF_MICROS, backoff);
            connectFailures++;
        }
    }

    /**
     * Returns whether the region counts as unreachable.
     *
     * @param workers all known workers
     */
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
