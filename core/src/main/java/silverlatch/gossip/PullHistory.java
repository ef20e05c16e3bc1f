package silverlatch.gossip;

import java.util.TreeSet;

/**
 * The times at which this process sent its latest pulls, in microseconds of its monotonic clock.
 *
 * <p>A reply is only accepted if it answers one of these pulls. A reply to an earlier process at this address is not:
 * it contains what that process lacked, which may be less than this one lacks, and its times refer to a monotonic
 * clock that may have restarted since.
 */
final class PullHistory {
    /** Later replies are ignored; the next pull makes up for them. */
    private static final long RETENTION_MICROS = 10_000_000L;

    private final TreeSet<Long> sentAt = new TreeSet<>();

    /** Records that a pull is sent at {@code now}. */
    void recordPull(final long now) {
        sentAt.headSet(now - RETENTION_MICROS).clear();
        sentAt.add(now);
    }

    /** Returns whether a pull was sent at that time and is still in the history. */
    boolean contains(final long pullSentAt) {
        return sentAt.contains(pullSentAt);
    }
}
