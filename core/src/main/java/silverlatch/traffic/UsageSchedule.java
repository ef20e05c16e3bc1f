package silverlatch.traffic;

/**
 * How usage is cut into windows of the wall clock, and when that of a window is due. Times are Unix times in microseconds.
 *
 * @param windowMicros how long a window is; windows are numbered from the Unix epoch on
 * @param delayMicros  how long after the end of its window the usage is due
 */
public record UsageSchedule(long windowMicros, long delayMicros) {
    /** Checks the times. */
    public UsageSchedule {
        if (windowMicros <= 0 || delayMicros <= 0) {
            throw new IllegalArgumentException("a window and a delay of more than 0 are needed");
        }
    }

    /** The number of the window that a moment lies in. */
    public long windowAt(final long unixMicros) {
        return Math.floorDiv(unixMicros, windowMicros);
    }

    /** When a window ends. */
    public long endOf(final long window) {
        return (window + 1) * windowMicros;
    }

    /** When the usage of a window is due. */
    public long dueAt(final long window) {
        return endOf(window) + delayMicros;
    }

    /**
     * When a window is closed even if gateways are missing: after two thirds of the delay. A gateway that was cut off that long is
     * still waited for, and a third is left to commit the closing and to report it.
     */
    public long closingDeadlineOf(final long window) {
        return endOf(window) + delayMicros * 2 / 3;
    }
}
