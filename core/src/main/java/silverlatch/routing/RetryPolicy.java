package silverlatch.routing;

/**
 * Says whether a request may be sent to another worker, as far as its route and its history allow. Whether the retry
 * budget has one left and another worker is there is asked afterwards. Pure functions; times in microseconds.
 */
final class RetryPolicy {
    private static final long SECOND = 1_000_000L;
    private static final int SERVER_ERROR = 500;

    private RetryPolicy() {}

    /** Whether it may be retried after a worker's complete response with this status, which wasn't passed on. */
    static boolean allowsAfterResponse(final OpenRequest open, final int statusCode, final long now) {
        return statusCode >= SERVER_ERROR
                && !open.hasClientDisconnected()
                && open.route().isRetryable()
                && hasAttemptsLeft(open)
                && now < open.deadline();
    }

    /**
     * Whether it may be retried after an attempt broke: always where the attempt surely did not run, else where the route
     * allows it, and after a response has begun only where its stream can be resumed.
     */
    static boolean allowsAfterFailure(final OpenRequest open, final FailurePoint point, final long now) {
        final boolean mayRunAgain = point.isKnownNotRun()
                || open.route().isRetryable()
                        && (point != FailurePoint.BEGUN
                                || open.route().resumable() && open.route().streaming());
        final boolean hasAttemptsLeft = hasAttemptsLeft(open)
                || point == FailurePoint.UNSENT
                        && open.attempts() <= open.route().maxAttempts() + 1;
        return mayRunAgain && hasAttemptsLeft && !open.hasClientDisconnected() && now < open.deadline();
    }

    /** Whether it may be moved from a worker that has been silent for too long. */
    static boolean allowsAfterSilence(final OpenRequest open, final WorkerState.Attempt attempt, final long now) {
        return open.route().isRetryable()
                && (!open.responseStarted() || open.route().resumable())
                && hasAttemptsLeft(open)
                && now - attempt.lastEventAt() > silenceLimit(open, attempt)
                && !open.hasFailedAt(open.worker());
    }

    /** How long a worker may be silent: before the first event by the latency target, after it by the route's gap. */
    private static long silenceLimit(final OpenRequest open, final WorkerState.Attempt attempt) {
        return attempt.firstEventSeen()
                ? Math.max(SECOND, 2 * open.route().maxEventGapMicros())
                : Math.max(open.route().latencyTargetMicros() * 3 / 4, 3 * attempt.predictedLatency());
    }

    private static boolean hasAttemptsLeft(final OpenRequest open) {
        return open.attempts() < open.route().maxAttempts();
    }
}
