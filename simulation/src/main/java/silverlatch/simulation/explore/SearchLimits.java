package silverlatch.simulation.explore;

/**
 * When a search ends.
 *
 * @param threads  how many threads it uses
 * @param maxStates   how many states a breadth-first search visits at most
 * @param deadlineNanos when it ends whatever is left, in nanoseconds of {@link System#nanoTime()}
 */
record SearchLimits(int threads, long maxStates, long deadlineNanos) {
    private static final long NANOSECONDS = 1_000_000_000L;

    /** Limits that end after so many seconds. */
    static SearchLimits within(final int threads, final long states, final long seconds) {
        return new SearchLimits(threads, states, System.nanoTime() + seconds * NANOSECONDS);
    }

    /** Whether the time is over. */
    boolean isReached() {
        return System.nanoTime() - deadlineNanos >= 0;
    }
}
