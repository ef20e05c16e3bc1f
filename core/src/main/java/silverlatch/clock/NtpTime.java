package silverlatch.clock;

/**
 * Converts to and from the time format of stamps, which resembles that of NTP: fixed point with 32 bits of seconds and
 * 32 bits of fraction. One unit is 2^-32 seconds.
 */
public final class NtpTime {
    /** Seconds between the Unix epoch and this project's epoch, 2020-01-01 UTC. */
    public static final long EPOCH_UNIX_SECONDS = 1_577_836_800L;

    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int FRACTION_BITS = 32;
    private static final long FRACTION_MASK = (1L << FRACTION_BITS) - 1;

    private NtpTime() {}

    /** Converts a duration in microseconds to units, rounded down. */
    public static long fromMicros(final long micros) {
        final long seconds = Math.floorDiv(micros, MICROS_PER_SECOND);
        final long remainder = Math.floorMod(micros, MICROS_PER_SECOND);
        return seconds << FRACTION_BITS | (remainder << FRACTION_BITS) / MICROS_PER_SECOND;
    }

    /** Converts a Unix time in nanoseconds to units since this project's epoch, rounded down. */
    public static long fromUnixNanos(final long nanos) {
        final long seconds = Math.floorDiv(nanos, NANOS_PER_SECOND) - EPOCH_UNIX_SECONDS;
        final long remainder = Math.floorMod(nanos, NANOS_PER_SECOND);
        return seconds << FRACTION_BITS | (remainder << FRACTION_BITS) / NANOS_PER_SECOND;
    }

    /** Converts a non-negative duration in units to microseconds, rounded up. */
    public static long toMicros(final long units) {
        final long seconds = units >> FRACTION_BITS;
        final long fraction = units & FRACTION_MASK;
        return seconds * MICROS_PER_SECOND + ((fraction * MICROS_PER_SECOND + FRACTION_MASK) >> FRACTION_BITS);
    }
}
