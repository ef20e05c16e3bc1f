package silverlatch.clock;

/** Turns whole microseconds into the NTP-like fixed point format and back. */
public final class Ntp {
    /** Seconds between the Unix epoch and this project's epoch, 2020-01-01 UTC. */
    public static final long EPOCH = 1_577_836_800L;

    private static final long MILLION = 1_000_000L;

    private Ntp() {}

    /** Fixed point units for a span of microseconds. */
    public static long span(final long micros) {
        return Math.floorDiv(micros, MILLION) << 32 | (Math.floorMod(micros, MILLION) << 32) / MILLION;
    }

    /** Fixed point value of a Unix time given in nanoseconds. */
    public static long ofUnixNanos(final long nanos) {
        final long secs = Math.floorDiv(nanos, 1_000_000_000L) - EPOCH;
        return secs << 32 | (Math.floorMod(nanos, 1_000_000_000L) << 32) / 1_000_000_000L;
    }

    /** Whole microseconds, rounded up, for a positive span of fixed point units. */
    public static long micros(final long units) {
        final long secs = units >> 32;
        final long part = units & 0xFFFF_FFFFL;
        return secs * MILLION + ((part * MILLION + 0xFFFF_FFFFL) >> 32);
    }
}
