package silverlatch.node;

/**
 * The clocks of one simulated machine, in microseconds. The monotonic clock begins anew when the machine comes back after a loss of
 * power; the wall clock may jump.
 */
final class MachineClock {
    private static final long UNIX_EPOCH = 1_700_000_000_000_000L;
    /** How long a machine runs until its process starts. */
    private static final long BOOT_MICROS = 10_000_000L;

    private long bootedAt;
    private long wallStep;
    private boolean isPowered = true;

    /** A process of the machine starts; the machine is switched on where it was off. */
    void start(final long simulatedTime) {
        if (!isPowered) {
            isPowered = true;
            bootedAt = simulatedTime - BOOT_MICROS;
        }
    }

    void powerOff() {
        isPowered = false;
    }

    /** The wall clock jumps. */
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
