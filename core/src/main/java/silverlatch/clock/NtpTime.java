package silverlatch.clock;

/** Turns whole microseconds into the NTP-like fixed point format and back. */
public final class NtpTime {
    /** Seconds between the Unix epoch and this project's epoch, 2020-01-01 UTC. */
    public static final long EPOCH_UNIX_SECONDS = 1_577_836_800L;

    private static final long MICROS_PER_SECOND = 1_000_000L;

    private NtpTime() {}

    /** Fixed point units for a span of microseconds. */
    public static long fromMicros(final long micros) {
        return Math.floorDiv(micros, MICROS_PER_SECOND) << 32
                | (Math.floorMod(micros, MICROS_PER_SECOND) << 32) / MICROS_PER_SECOND;
    }

    /** Fixed point value of a Unix time given in nanoseconds. */
    public static long fromUnixNanos(final long nanos) {
        final long seconds = Math.floorDiv(nanos, 1_000_000_000L) - EPOCH_UNIX_SECONDS;
        return seconds << 32 | (Math.floorMod(nanos, 1_000_000_000L) << 32) / 1_000_000_000L;
    }

    /** Whole microseconds, rounded up, for a positive span of fixed point units. */
    public static long toMicros(final long units) {
        final long seconds = units >> 32;
        final long fraction = units & 0xFFFF_FFFFL;
        return seconds * MICROS_PER_SECOND + ((fraction * MICROS_PER_SECOND + 0xFFFF_FFFFL) >> 32);
    }
}
