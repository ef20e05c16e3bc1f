package silverlatch.simulation.explore;

/**
 * The limits of a search.
 *
 * @param threads  the number of threads
 * @param maxStates   the most states that a breadth-first search visits
 * @param deadlineNanos the time at which the search ends, in nanoseconds of {@link System#nanoTime()}
 */
record SearchLimits(int threads, long maxStates, long deadlineNanos) {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** Returns limits whose deadline is a number of seconds from now. */
    static SearchLimits within(final int threads, final long states, final long seconds) {
        return new SearchLimits(threads, states, System.nanoTime() + seconds * NANOSECONDS_PER_SECOND);
    }

    /** Returns whether the deadline has passed. */
    boolean isReached() {
        return System.nanoTime() - deadlineNanos >= 0;
    }
}
