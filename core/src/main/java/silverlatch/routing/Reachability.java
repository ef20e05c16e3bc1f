package silverlatch.routing;

import java.util.Collection;

/**
 * Whether a region's workers are heard from here. Where tickets wait there past what was foretold and none of its
 * workers has said a word since, or where a connection there fails, the region counts as mute until one speaks.
 */
final class Reachability {
    private static final long SLACK_MICROS = 200_000L;
    private static final long INITIAL_BACKOFF_MICROS = 500_000L;
    private static final long MAX_BACKOFF_MICROS = 4_000_000L;
    private final String region;
    private long heard = Long.MIN_VALUE / 2;
    private long unreachableUntil = Long.MIN_VALUE / 2;
    private int connectFailures;

    Reachability(final String region) {
        this.region = region;
    }

    void heard(final long now) {
        heard = now;
        connectFailures = 0;
        unreachableUntil = Long.MIN_VALUE / 2;
    }

    /** A connection there could not be made. */
    void connectFailed(final long now) {
        if (now - heard > SLACK_MICROS) {
            unreachableUntil =
                    now + Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << Math.min(4, connectFailures));
            connectFailures++;
        }
    }

    boolean isUnreachable(final Collection<WorkerState> workers, final long now) {
        return now < unreachableUntil
                || workers.stream()
                        .filter(s -> s.worker.region().equals(region))
                        .flatMap(s -> s.attempts.values().stream())
                        .anyMatch(r -> !r.firstEventSeen
                                && r.startedAt > heard
                                && now - r.startedAt > r.predictedLatency + r.predictedLatency / 2 + SLACK_MICROS);
    }
}
