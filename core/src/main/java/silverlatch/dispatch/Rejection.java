package silverlatch.dispatch;

/**
 * A rejection of a request, which did not run and never will.
 *
 * @param statusCode the HTTP status code of the response
 * @param reason     the reason, for the client and for the log
 * @param retryAfter the shortest time after which the client may retry, in microseconds; 0 if a retry is useless
 * @param claimState the state of the claim that holds the idempotency key, or empty
 */
record Rejection(int statusCode, String reason, long retryAfter, String claimState) {
    static final int UNAUTHORIZED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int GONE = 410;
    static final int UNPROCESSABLE = 422;
    static final int TOO_EARLY = 425;
    static final int TOO_MANY_REQUESTS = 429;
    static final int UNAVAILABLE = 503;
    static final int INSUFFICIENT_STORAGE = 507;
    static final long SECOND_MICROS = 1_000_000L;

    /** Returns a rejection that a retry does not change. */
    static Rejection permanent(final int statusCode, final String reason) {
        return new Rejection(statusCode, reason, 0, "");
    }

    /** Returns a rejection that the client may retry after the given time in microseconds. */
    static Rejection retryable(final int statusCode, final String reason, final long retryAfter) {
        return new Rejection(statusCode, reason, retryAfter, "");
    }

    /** Returns a rejection with status 503, to be retried after about a second. */
    static Rejection unavailable(final String reason) {
        return retryable(UNAVAILABLE, reason, SECOND_MICROS);
    }

    /** Returns a rejection with status 503, to be retried after about half a second. */
    static Rejection brieflyUnavailable(final String reason) {
        return retryable(UNAVAILABLE, reason, SECOND_MICROS / 2);
    }

    /** Returns a rejection with status 409: another request holds the idempotency key. */
    static Rejection keyAlreadyClaimed(final String reason, final String claimState) {
        return new Rejection(CONFLICT, reason, 0, claimState);
    }
}
