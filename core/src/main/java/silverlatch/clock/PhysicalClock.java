package silverlatch.clock;

import silverlatch.util.Numbers;

/**
 * Physical clock from which stamps are made: reads the wall clock once as an anchor, and from then on advances by the
 * monotonic clock. It follows a wall clock that drifts slowly, and doesn't follow one that jumps. Immutable.
 *
 * @param unixNanos       the Unix time of the anchor, in nanoseconds
 * @param monotonicMicros the monotonic time of the anchor, in microseconds
 * @param jumps           how often the wall clock was found further off than the bound
 */
public record PhysicalClock(long unixNanos, long monotonicMicros, long jumps) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Microseconds per nanosecond of slew, at a maximum slew rate of 500 parts per million. */
    private static final long MICROS_PER_NANO_OF_SLEW = 2;

    /** Returns the physical time at a monotonic time, in units of {@link NtpTime}. */
    public long physicalTime(final long nowMicros) {
        return NtpTime.fromUnixNanos(unixNanosAt(nowMicros));
    }

    /** Returns the Unix time at a monotonic time, in microseconds. */
    public long unixMicros(final long nowMicros) {
        return unixNanosAt(nowMicros) / NANOS_PER_MICRO;
    }

    private long unixNanosAt(final long nowMicros) {
        return unixNanos + (nowMicros - monotonicMicros) * NANOS_PER_MICRO;
    }

    /**
     * Returns the clock slewed by at most 500 parts per million towards the wall clock. If the wall clock is off by
     * more than the bound, counts a jump and doesn't slew.
     */
    public PhysicalClock slew(final long wallNanos, final long nowMicros, final long boundMicros) {
        final long ownNanos = unixNanosAt(nowMicros);
        final long offsetNanos = wallNanos - ownNanos;
        if (Math.abs(offsetNanos) > boundMicros * NANOS_PER_MICRO) {
            return new PhysicalClock(ownNanos, nowMicros, jumps + 1);
        }
        final long maxSlewNanos = (nowMicros - monotonicMicros) / MICROS_PER_NANO_OF_SLEW;
        return new PhysicalClock(ownNanos + Numbers.clamp(offsetNanos, -maxSlewNanos, maxSlewNanos), nowMicros, jumps);
    }

    /**
     * Returns this clock shifted by an offset in microseconds, as on a rejoin that adopts the median of the peers'
     * clocks.
     */
    public PhysicalClock shiftedBy(final long micros) {
        return new PhysicalClock(unixNanos + micros * NANOS_PER_MICRO, monotonicMicros, jumps);
    }
}
