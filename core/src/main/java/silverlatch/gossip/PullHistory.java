package silverlatch.gossip;

import java.util.TreeSet;

/**
 * When this process sent its latest pulls, by its own monotonic clock in microseconds. A reply counts only if it answers one of them: one
 * that was meant for an earlier process at this address holds what that process lacked, which may be less than this one lacks, and is
 * dated by a clock that may have begun anew since.
 */
final class PullHistory {
    /** Replies that take longer are ignored; the next pull makes up for that. */
    private static final long RETENTION_MICROS = 10_000_000L;

    private final TreeSet<Long> sentAt = new TreeSet<>();

    /** Notes that pulls are sent now. */
    void record(final long now) {
        sentAt.headSet(now - RETENTION_MICROS).clear();
        sentAt.add(now);
    }

    /** Whether a pull was sent at that moment, lately. */
    boolean contains(final long pullSentAt) {
        return sentAt.contains(pullSentAt);
    }
}
