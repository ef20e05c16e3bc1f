package silverlatch.routing;

/**
 * Decides whether a request may be sent to another worker, by its route and its earlier attempts. The caller checks
 * separately that the retry budget allows it and that another worker is available. Pure functions; times are
 * microseconds.
 */
final class RetryPolicy {
    private static final long SECOND = 1_000_000L;
    private static final int SERVER_ERROR = 500;

    private RetryPolicy() {}

    /**
     * Returns whether the request may be retried after a worker's complete response, which has not been forwarded, with
     * this status.
     */
    static boolean allowsAfterResponse(final OpenRequest open, final int statusCode, final long now) {
        return statusCode >= SERVER_ERROR
                && !open.hasClientDisconnected()
                && open.route().isRetryable()
                && hasAttemptsLeft(open)
                && now < open.deadline();
    }

    /**
     * Returns whether the request may be retried after a failed attempt: always if the attempt is known not to have
     * run, else only if the route allows it. After a part of the response was forwarded, the response must also be a
     * stream that can be resumed.
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

    /** Returns whether the request may be moved away from a worker that has been silent for too long. */
    static boolean allowsAfterSilence(final OpenRequest open, final WorkerState.Attempt attempt, final long now) {
        return open.route().isRetryable()
                && (!open.responseStarted() || open.route().resumable())
                && hasAttemptsLeft(open)
                && now - attempt.lastEventAt() > silenceLimit(open, attempt)
                && !open.hasFailedAt(open.worker());
    }

    /**
     * Returns how long the worker may be silent: before the first event this depends on the latency target and the
     * prediction, after it on the route's maximum gap between events.
     */
    private static long silenceLimit(final OpenRequest open, final WorkerState.Attempt attempt) {
        return attempt.firstEventSeen()
                ? Math.max(SECOND, 2 * open.route().maxEventGapMicros())
                : Math.max(open.route().latencyTargetMicros() * 3 / 4, 3 * attempt.predictedLatency());
    }

    private static boolean hasAttemptsLeft(final OpenRequest open) {
        return open.attempts() < open.route().maxAttempts();
    }
}
