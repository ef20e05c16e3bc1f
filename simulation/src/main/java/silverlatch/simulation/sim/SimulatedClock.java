package silverlatch.simulation.sim;

import silverlatch.clock.NtpTime;

/**
 * The clocks of one simulated machine: a monotonic clock in microseconds, which begins anywhere and drifts a little with
 * each start, and a wall clock that is off by a fixed skew and by what a fault adds.
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

    /** The machine starts: its monotonic clock begins anew. */
    void restart() {
        base = scheduler.random().nextLong(1_000_000_000_000L);
        rate = 1 + (scheduler.random().nextDouble() - 0.5) * MAX_DRIFT;
    }

    /** The wall clock is off by so many microseconds from now on. */
    void setWallOffset(final long offset) {
        wallOffset = offset;
    }

    /** Whether a fault has set the wall clock off. */
    boolean isWallClockOff() {
        return wallOffset != 0;
    }

    /** The monotonic clock, in microseconds. */
    long now() {
        return base + (long) (scheduler.now() * rate);
    }

    /** The wall clock, in nanoseconds of Unix time. */
    long wallNanos() {
        return WALL_CLOCK_START * 1000 + (scheduler.now() + wallOffset + skew) * 1000;
    }

    /** True time, as a stamp has it. */
    long trueNtpTime() {
        return NtpTime.fromUnixNanos((WALL_CLOCK_START + scheduler.now()) * 1000);
    }
}
