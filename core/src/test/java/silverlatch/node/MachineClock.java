package silverlatch.node;

/**
 * The clocks of one simulated machine, in microseconds. The monotonic clock restarts when the machine boots after a power loss; the
 * wall clock may jump.
 */
final class MachineClock {
    private static final long UNIX_EPOCH = 1_700_000_000_000_000L;
    /** The time from boot until the machine's process starts, in microseconds. */
    private static final long BOOT_MICROS = 10_000_000L;

    private long bootedAt;
    private long wallStep;
    private boolean isPowered = true;

    /** Starts the machine's process; boots the machine first if it was powered off. */
    void start(final long simulatedTime) {
        if (!isPowered) {
            isPowered = true;
            bootedAt = simulatedTime - BOOT_MICROS;
        }
    }

    void powerOff() {
        isPowered = false;
    }

    /** Steps the wall clock by a number of microseconds, which may be negative. */
    void step(final long by) {
        wallStep += by;
    }

    long monotonicMicros(final long simulatedTime) {
        return simulatedTime - bootedAt;
    }

    long wallMicros(final long simulatedTime) {
        return UNIX_EPOCH + wallStep + simulatedTime;
    }

    long wallNanos(final long simulatedTime) {
        return wallMicros(simulatedTime) * 1000;
    }
}
