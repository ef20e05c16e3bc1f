package silverlatch.simulation.sim;

import silverlatch.clock.NtpTime;

/**
 * The clocks of one simulated machine: a monotonic clock in microseconds, whose origin and drift are drawn at each start, and a
 * wall clock with a fixed skew plus an offset that faults set.
 */
final class SimulatedClock {
    /** The Unix time at which simulated days begin, in microseconds. */
    private static final long WALL_CLOCK_START = 1_790_000_000_000_000L;

    private static final long MAX_SKEW = 15_000L;
    private static final double MAX_DRIFT = 1e-4;
    private final EventScheduler scheduler;
    private final long skew;
    private long wallOffset;
    private long base;
    private double rate = 1;

    SimulatedClock(final EventScheduler scheduler) {
        this.scheduler = scheduler;
        this.skew = scheduler.random().nextLong(2 * MAX_SKEW) - MAX_SKEW;
    }

    /** Draws a new origin and drift for the monotonic clock, as after a restart of the machine. */
    void restart() {
        base = scheduler.random().nextLong(1_000_000_000_000L);
        rate = 1 + (scheduler.random().nextDouble() - 0.5) * MAX_DRIFT;
    }

    /** Sets the offset of the wall clock in microseconds, in addition to its fixed skew. */
    void setWallOffset(final long offset) {
        wallOffset = offset;
    }

    /** Returns whether a fault has set an offset of the wall clock. */
    boolean isWallClockOff() {
        return wallOffset != 0;
    }

    /** Returns the monotonic clock, in microseconds. */
    long now() {
        return base + (long) (scheduler.now() * rate);
    }

    /** Returns the wall clock, in nanoseconds of Unix time. */
    long wallNanos() {
        return WALL_CLOCK_START * 1000 + (scheduler.now() + wallOffset + skew) * 1000;
    }

    /** Returns the true time without skew or offset, as the NTP time that stamps use. */
    long trueNtpTime() {
        return NtpTime.fromUnixNanos((WALL_CLOCK_START + scheduler.now()) * 1000);
    }
}
