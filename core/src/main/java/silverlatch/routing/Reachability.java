package silverlatch.routing;

import java.util.Collection;

/**
 * Whether a region's workers are heard from here. Where tickets wait there past what was foretold and none of its
 * workers has said a word since, or where a connection there fails, the region counts as mute until one speaks.
 */
final class Reachability {
    private static final long SLACK = 200_000L;
    private static final long FIRST = 500_000L;
    private static final long MOST = 4_000_000L;
    private final String region;
    private long heard = Long.MIN_VALUE / 2;
    private long until = Long.MIN_VALUE / 2;
    private int misses;

    Reachability(final String region) {
        this.region = region;
    }

    void heard(final long now) {
        heard = now;
        misses = 0;
        until = Long.MIN_VALUE / 2;
    }

    /** A connection there could not be made. */
    void missed(final long now) {
        if (now - heard > SLACK) {
            until = now + Math.min(MOST, FIRST << Math.min(4, misses));
            misses++;
        }
    }

    boolean mute(final Collection<WorkerState> all, final long now) {
        return now < until
                || all.stream()
                        .filter(s -> s.worker.region().equals(region))
                        .flatMap(s -> s.runs.values().stream())
                        .anyMatch(r -> !r.first && r.begun > heard && now - r.begun > r.guess + r.guess / 2 + SLACK);
    }
}
