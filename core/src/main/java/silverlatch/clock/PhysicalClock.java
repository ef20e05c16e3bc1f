package silverlatch.clock;

import silverlatch.util.Numbers;

/**
 * The physical clock under the stamps: the wall clock read once and carried on by the monotonic clock.
 * A wall clock that wanders is followed slowly; one that jumps is not followed.
 *
 * @param unixNanos  Unix nanoseconds at the anchor
 * @param monotonicMicros  monotonic microseconds at the anchor
 * @param jumps how often the wall clock was found beyond the bound
 */
public record PhysicalClock(long unixNanos, long monotonicMicros, long jumps) {
    /** Physical time in fixed point units at a monotonic time. */
    public long physicalTime(final long nowMicros) {
        return NtpTime.fromUnixNanos(unixNanos + (nowMicros - monotonicMicros) * 1000);
    }

    /** Moves by at most 500 parts in a million towards a wall clock within the bound; counts one beyond it. */
    public PhysicalClock slew(final long wallNanos, final long nowMicros, final long boundMicros) {
        final long ownNanos = unixNanos + (nowMicros - monotonicMicros) * 1000;
        final long offsetNanos = wallNanos - ownNanos;
        if (Math.abs(offsetNanos) > boundMicros * 1000) {
            return new PhysicalClock(ownNanos, nowMicros, jumps + 1);
        }
        final long maxSlewNanos = (nowMicros - monotonicMicros) / 2;
        return new PhysicalClock(ownNanos + Numbers.clamp(offsetNanos, -maxSlewNanos, maxSlewNanos), nowMicros, jumps);
    }

    /** The anchor moved by an offset in microseconds, as a rejoin does that takes the median of its seeds. */
    public PhysicalClock shiftedBy(final long micros) {
        return new PhysicalClock(unixNanos + micros * 1000, monotonicMicros, jumps);
    }
}
