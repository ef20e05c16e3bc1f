package silverlatch.dispatch;

/**
 * Limits retries and hedged requests to a fraction of the requests, like the retry budget of Finagle: each request adds the
 * retry ratio to the balance, and each retry takes 1 from it. The balance never exceeds the retry ratio times the number of
 * requests in the last two to four seconds, or 1 if that is more, so that a burst of retries after an idle time stays small.
 * Not thread-safe; times are in microseconds.
 */
public final class RetryBudget {
    private static final long WINDOW_MICROS = 2_000_000L;
    private final double retryRatio;
    private double balance;
    private long windowStart;
    private long requestsInWindow;
    private long requestsInPreviousWindow;

    /**
     * Creates a budget.
     *
     * @param retryRatio     the number of retries that each request adds, less than 1
     * @param initialBalance the number of retries that are allowed before any request
     */
    public RetryBudget(final double retryRatio, final double initialBalance) {
        this.retryRatio = retryRatio;
        this.balance = initialBalance;
    }

    /** Records the first attempt of a request, which adds to the balance. */
    public void recordRequest(final long now) {
        rollWindow(now);
        requestsInWindow++;
        balance = Math.min(limit(), balance + retryRatio);
    }

    /** Takes one retry from the balance; returns false, and takes nothing, if the balance is below 1. */
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
