package silverlatch.traffic;

/**
 * Divides the wall clock time into usage windows and defines when the usage of a window is due. Times are Unix times in
 * microseconds.
 *
 * @param windowMicros the length of a window; windows are numbered from the Unix epoch
 * @param delayMicros  how long after the end of its window the usage is due
 */
public record UsageSchedule(long windowMicros, long delayMicros) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is not positive
     */
    public UsageSchedule {
        if (windowMicros <= 0 || delayMicros <= 0) {
            throw new IllegalArgumentException("usage window length and reporting delay must be positive");
        }
    }

    /** Returns the number of the window that contains a time. */
    public long windowAt(final long unixMicros) {
        return Math.floorDiv(unixMicros, windowMicros);
    }

    /** Returns when a window ends. */
    public long endOf(final long window) {
        return (window + 1) * windowMicros;
    }

    /** Returns when the usage of a window is due. */
    public long dueAt(final long window) {
        return endOf(window) + delayMicros;
    }

    /**
     * Returns when a window is closed even if reports of gateways are missing: after two thirds of the delay. So
     * gateways that were partitioned for that long are still waited for, and a third of the delay is left to commit the
     * closed window and to report it.
     */
    public long closingDeadlineOf(final long window) {
        return endOf(window) + delayMicros * 2 / 3;
    }
}
