package silverlatch.clock;

/**
 * The state of the PWC clock of one process, immutable: algorithms 1 and 2 of "Achieving Causality with Physical
 * Clocks". A stamp is the physical time with its low bits replaced by a count of events; causality holds as long as the
 * count does not carry into the high bits unseen. The physical time is passed in with each event, in units of
 * {@link NtpTime}.
 *
 * @param last    the bits of the newest stamp
 * @param lowBits how many low bits (u in the paper) count events
 * @param maxSkew the bound on the skew between two physical clocks, in units
 */
public record PwcClock(long last, int lowBits, long maxSkew) {
    /** Checks the settings. */
    public PwcClock {
        if (lowBits < 1 || lowBits > 30 || maxSkew < 0) {
            throw new IllegalArgumentException("low bits 1..30 and a skew of at least 0 are needed");
        }
    }

    /** A clock that starts at its masked physical clock, but above the given floor. */
    public static PwcClock start(final long physicalTime, final int lowBits, final long maxSkew, final long floor) {
        final long mask = (1L << lowBits) - 1;
        return new PwcClock(Math.max(physicalTime & ~mask, floor + 1), lowBits, maxSkew);
    }

    /** The physical clock with its low bits masked to zero. */
    public long masked(final long physicalTime) {
        return physicalTime & -(1L << lowBits);
    }

    /** Algorithm 2 for a local or send event. */
    public ClockReading send(final long physicalTime) {
        return next(last, physicalTime);
    }

    /** Algorithm 2 for a receive event, with the bound on stamps that are too far ahead. */
    public ClockReading receive(final Stamp received, final long physicalTime) {
        final long unitsAhead = received.bits() - highestAcceptable(physicalTime);
        return unitsAhead > 0
                ? new ClockReading.TooFarAhead(unitsAhead)
                : next(Math.max(last, received.bits()), physicalTime);
    }

    /**
     * Algorithm 1 for a local event: it never waits. The carry that it may make keeps causality;
     * {@link #wouldOverflow} tells beforehand.
     */
    public ClockReading.Stamped local(final long physicalTime) {
        return stamped(Math.max(last + 1, masked(physicalTime)));
    }

    /** Whether the next event would carry into the high bits. */
    public boolean wouldOverflow(final long physicalTime) {
        return next(last, physicalTime) instanceof ClockReading.Wait;
    }

    /** Whether the clock is ahead of what the skew allows. */
    public boolean isBeyondSkew(final long physicalTime) {
        return last > highestAcceptable(physicalTime);
    }

    /** The highest stamp that is accepted at a physical time. */
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
