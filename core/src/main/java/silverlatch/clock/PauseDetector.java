package silverlatch.clock;

import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Detects the pauses of a process: times in which its event loop handled nothing, because the process was suspended or
 * the loop was blocked. What arrived during a pause is read after it, from the kernel or a queue, so that its sender may
 * have given up on it long ago.
 *
 * <p>Times are microseconds of the process's monotonic clock, which goes on during a pause. Only the event loop calls
 * this class.
 */
public final class PauseDetector {
    /** Shorter gaps between two events are normal, since an idle event loop only ticks. */
    private static final long MIN_PAUSE_MICROS = 100_000L;
    /** The longest time that it takes after a pause until everything that arrived before its end has been read. */
    private static final long MAX_BACKLOG_MICROS = 1_000_000L;

    private final Safeguards safeguards;
    private boolean hasObserved;
    private long lastObservedAt;
    private long pausedAt;
    private long backlogEndsAt;

    /** Creates a detector that has seen no event yet. */
    public PauseDetector(final Safeguards safeguards) {
        this.safeguards = safeguards;
        this.backlogEndsAt = Long.MIN_VALUE;
    }

    /**
     * Records that an event is handled now. Must be called for each event before it is handled.
     *
     * @return the length of the pause that ends with this event, in microseconds; 0 if there was none
     */
    public long observe(final long now) {
        final long gap = hasObserved ? now - lastObservedAt : 0;
        if (gap > MIN_PAUSE_MICROS) {
            final boolean hadBacklog = lastObservedAt < backlogEndsAt;
            pausedAt = hadBacklog ? pausedAt : lastObservedAt;
            backlogEndsAt = now + Math.min(gap, MAX_BACKLOG_MICROS);
        }
        hasObserved = true;
        lastObservedAt = Math.max(lastObservedAt, now);
        return gap > MIN_PAUSE_MICROS ? gap : 0;
    }

    /**
     * Returns for how many microseconds an input that is handled now may have waited because of a pause; 0 if there was
     * none recently.
     */
    public long possibleWait(final long now) {
        final boolean mayBeBacklog = now < backlogEndsAt && safeguards.isEnabled(Safeguard.PAUSE);
        return mayBeBacklog ? now - pausedAt : 0;
    }
}
