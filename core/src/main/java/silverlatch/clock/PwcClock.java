package silverlatch.clock;

/**
 * Immutable state of the PWC (physical clock with causality) of one process: algorithms 1 and 2 of "Achieving Causality
 * with Physical Clocks". A stamp is the physical time with its low bits replaced by a count of events. Causality holds
 * as long as the count doesn't carry into the high bits undetected. The physical time is passed in with each event, in
 * units of {@link NtpTime}.
 *
 * @param last    the bits of the newest stamp
 * @param lowBits the number of low bits (u in the paper) that count events
 * @param maxSkew the bound on the skew between two physical clocks, in units of {@link NtpTime}
 */
public record PwcClock(long last, int lowBits, long maxSkew) {
    /** Checks the settings. */
    public PwcClock {
        if (lowBits < 1 || lowBits > 30 || maxSkew < 0) {
            throw new IllegalArgumentException("the number of low bits must be 1..30 and the skew at least 0");
        }
    }

    /** Returns a clock that starts at its masked physical clock, but above the given floor. */
    public static PwcClock start(final long physicalTime, final int lowBits, final long maxSkew, final long floor) {
        final long mask = (1L << lowBits) - 1;
        return new PwcClock(Math.max(physicalTime & ~mask, floor + 1), lowBits, maxSkew);
    }

    /** Returns the physical time with the low bits set to zero. */
    public long masked(final long physicalTime) {
        return physicalTime & -(1L << lowBits);
    }

    /** Algorithm 2 of the paper for a local or send event. */
    public ClockReading send(final long physicalTime) {
        return next(last, physicalTime);
    }

    /** Algorithm 2 of the paper for a receive event, with a bound that rejects stamps that are too far ahead. */
    public ClockReading receive(final Stamp received, final long physicalTime) {
        final long unitsAhead = received.bits() - highestAcceptable(physicalTime);
        return unitsAhead > 0
                ? new ClockReading.TooFarAhead(unitsAhead)
                : next(Math.max(last, received.bits()), physicalTime);
    }

    /**
     * Algorithm 1 of the paper for a local event, which never waits. The stamp may carry into the high bits, which
     * preserves causality; {@link #wouldOverflow} tells in advance whether it will.
     */
    public ClockReading.Stamped local(final long physicalTime) {
        return stamped(Math.max(last + 1, masked(physicalTime)));
    }

    /** Returns whether the next event's stamp would carry into the high bits. */
    public boolean wouldOverflow(final long physicalTime) {
        return next(last, physicalTime) instanceof ClockReading.Wait;
    }

    /** Returns whether the clock is ahead of the physical clock by more than the allowed skew. */
    public boolean isBeyondSkew(final long physicalTime) {
        return last > highestAcceptable(physicalTime);
    }

    /** Returns the bits of the highest stamp that is accepted at a physical time. */
    public long highestAcceptable(final long physicalTime) {
        return masked(physicalTime) + maxSkew + (1L << lowBits);
    }

    private ClockReading next(final long previous, final long physicalTime) {
        final long mask = (1L << lowBits) - 1;
        final long maskedTime = masked(physicalTime);
        if ((previous + 1 & mask) == 0 && previous >= maskedTime) {
            return new ClockReading.Wait(Math.max(1, NtpTime.toMicros(previous + 1 - physicalTime)));
        }
        return stamped(Math.max(previous + 1, maskedTime));
    }

    private ClockReading.Stamped stamped(final long bits) {
        return new ClockReading.Stamped(new PwcClock(bits, lowBits, maxSkew), new Stamp(bits));
    }
}
