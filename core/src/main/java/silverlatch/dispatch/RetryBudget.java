package silverlatch.dispatch;

/**
 * The budget for retries and hedged requests, as in Finagle: each request adds a part of a retry, each retry takes a whole
 * one. The balance never exceeds that part of the requests of the last two to four seconds, or 1, so that a burst after a
 * quiet time stays small. Not thread-safe; times in microseconds.
 */
public final class RetryBudget {
    private static final long WINDOW_MICROS = 2_000_000L;
    private final double retryRatio;
    private double balance;
    private long windowStart;
    private long requestsInWindow;
    private long requestsInPreviousWindow;

    /**
     * A budget.
     *
     * @param retryRatio     the part of a retry that each request adds
     * @param initialBalance the retries that can be made before any request
     */
    public RetryBudget(final double retryRatio, final double initialBalance) {
        this.retryRatio = retryRatio;
        this.balance = initialBalance;
    }

    /** A request is sent for the first time. */
    public void recordRequest(final long now) {
        rollWindow(now);
        requestsInWindow++;
        balance = Math.min(limit(), balance + retryRatio);
    }

    /** Takes a retry out of the budget; false, with nothing taken, when there is none. */
    public boolean tryAcquire(final long now) {
        rollWindow(now);
        balance = Math.min(limit(), balance);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    private double limit() {
        return Math.max(1, retryRatio * (requestsInPreviousWindow + requestsInWindow));
    }

    private void rollWindow(final long now) {
        if (now - windowStart >= WINDOW_MICROS) {
            requestsInPreviousWindow = now - windowStart >= 2 * WINDOW_MICROS ? 0 : requestsInWindow;
            requestsInWindow = 0;
            windowStart = now;
        }
    }
}
