package silverlatch.clock;

/**
 * The PWC clock of one daemon as a value: algorithms 1 and 2 of "Achieving Causality with Physical Clocks".
 * The physical clock is handed in with each event, in the same format as the stamp.
 *
 * @param last the stamp of the newest event here
 * @param low  how many low bits (u) count events
 * @param skew the bound on skew, in fixed point units
 */
public record PwcClock(long last, int low, long skew) {
    /** Rejects a setting under which the clock makes no sense. */
    public PwcClock {
        if (low < 1 || low > 30 || skew < 0) {
            throw new IllegalArgumentException("low bits 1..30 and a skew of at least 0 are needed");
        }
    }

    /** A clock that starts at its masked physical clock, but above the given floor. */
    public static PwcClock start(final long phys, final int low, final long skew, final long floor) {
        final long mask = (1L << low) - 1;
        return new PwcClock(Math.max(phys & ~mask, floor + 1), low, skew);
    }

    /** The physical clock with its low bits masked to zero. */
    public long masked(final long phys) {
        return phys & -(1L << low);
    }

    /** Algorithm 2 for a local or send event. */
    public ClockReading send(final long phys) {
        return next(last, phys);
    }

    /** Algorithm 2 for the receipt of a message, with the bound on stamps from afar. */
    public ClockReading take(final Stamp mark, final long phys) {
        final long over = mark.bits() - top(phys);
        return over > 0 ? new ClockReading.Far(over) : next(Math.max(last, mark.bits()), phys);
    }

    /** Algorithm 1 for a local event: it never waits; the carry it may make keeps causality and is counted by the keeper. */
    public ClockReading.Made carry(final long phys) {
        return made(Math.max(last + 1, masked(phys)));
    }

    /** Whether the next event would carry into the high bits. */
    public boolean brim(final long phys) {
        return next(last, phys) instanceof ClockReading.Wait;
    }

    /** Whether the clock stands above what the skew allows. */
    public boolean astray(final long phys) {
        return last > top(phys);
    }

    /** The highest stamp that is believed at this physical time. */
    public long top(final long phys) {
        return masked(phys) + skew + (1L << low);
    }

    private ClockReading next(final long base, final long phys) {
        final long mask = (1L << low) - 1;
        final long clip = masked(phys);
        if ((base + 1 & mask) == 0 && base >= clip) {
            return new ClockReading.Wait(Math.max(1, Ntp.micros(base + 1 - phys)));
        }
        return made(Math.max(base + 1, clip));
    }

    private ClockReading.Made made(final long bits) {
        return new ClockReading.Made(new PwcClock(bits, low, skew), new Stamp(bits));
    }
}
