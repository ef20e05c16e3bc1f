package silverlatch.clock;

import silverlatch.util.Numbers;

/**
 * The physical clock under the stamps: the wall clock read once, advanced by the monotonic clock from that anchor on.
 * A wall clock that drifts is followed slowly; one that jumps is not followed.
 *
 * @param unixNanos       the Unix time of the anchor, in nanoseconds
 * @param monotonicMicros the monotonic time of the anchor, in microseconds
 * @param jumps           how often the wall clock was found further off than the bound
 */
public record PhysicalClock(long unixNanos, long monotonicMicros, long jumps) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** At 500 parts in a million a nanosecond of slew takes two microseconds. */
    private static final long MICROS_PER_NANO_OF_SLEW = 2;

    /** The physical time at a monotonic time, in units of {@link NtpTime}. */
    public long physicalTime(final long nowMicros) {
        return NtpTime.fromUnixNanos(unixNanosAt(nowMicros));
    }

    /** The Unix time at a monotonic time, in microseconds. */
    public long unixMicros(final long nowMicros) {
        return unixNanosAt(nowMicros) / NANOS_PER_MICRO;
    }

    private long unixNanosAt(final long nowMicros) {
        return unixNanos + (nowMicros - monotonicMicros) * NANOS_PER_MICRO;
    }

    /** Slews by at most 500 parts in a million towards a wall clock within the bound; counts one beyond it as a jump. */
    public PhysicalClock slew(final long wallNanos, final long nowMicros, final long boundMicros) {
        final long ownNanos = unixNanosAt(nowMicros);
        final long offsetNanos = wallNanos - ownNanos;
        if (Math.abs(offsetNanos) > boundMicros * NANOS_PER_MICRO) {
            return new PhysicalClock(ownNanos, nowMicros, jumps + 1);
        }
        final long maxSlewNanos = (nowMicros - monotonicMicros) / MICROS_PER_NANO_OF_SLEW;
        return new PhysicalClock(ownNanos + Numbers.clamp(offsetNanos, -maxSlewNanos, maxSlewNanos), nowMicros, jumps);
    }

    /** This clock set by an offset in microseconds, as a rejoin does that takes the median of its seeds. */
    public PhysicalClock shiftedBy(final long micros) {
        return new PhysicalClock(unixNanos + micros * NANOS_PER_MICRO, monotonicMicros, jumps);
    }
}
