package silverlatch.dispatch;

/**
 * The budget for extra tries: each first run adds a part of one, each extra try takes a whole one. What is saved up
 * never exceeds that part of the first runs of the last few seconds, so that a burst after a quiet time stays small.
 */
public final class RetryBudget {
    private static final long WINDOW_MICROS = 2_000_000L;
    private final double retryRatio;
    private double balance;
    private long windowStart;
    private long requestsInWindow;
    private long requestsInPreviousWindow;

    /** A budget that starts with a small stock. */
    public RetryBudget(final double retryRatio, final double initialBalance) {
        this.retryRatio = retryRatio;
        this.balance = initialBalance;
    }

    /** A first run is asked for. */
    public void recordRequest(final long now) {
        rollWindow(now);
        requestsInWindow++;
        balance = Math.min(limit(), balance + retryRatio);
    }

    /** Takes one extra try, if there is one. */
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
