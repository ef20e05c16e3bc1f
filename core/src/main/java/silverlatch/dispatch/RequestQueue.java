package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** The queue of a tenant's tickets of one kind, its place in the order, and its rate. One duty owns it. */
final class RequestQueue {
    private static final long SECOND = 1_000_000L;
    final String name;
    final String tenant;
    final Deque<DispatchedRequest> requests = new ArrayDeque<>();
    double lastServedVirtualTime;
    int inFlight;
    double rateTokens = -1;
    long refilledAt;

    RequestQueue(final String name, final String tenant, final double virtualTime) {
        this.name = name;
        this.tenant = tenant;
        this.lastServedVirtualTime = virtualTime;
    }

    boolean tryAcquireRateToken(final double rate, final double burst, final long now) {
        rateTokens = rateTokens < 0 ? burst : Math.min(burst, rateTokens + (now - refilledAt) * rate / SECOND);
        refilledAt = now;
        if (rateTokens < 1) {
            return false;
        }
        rateTokens--;
        return true;
    }

    boolean isIdle(final long now) {
        return requests.isEmpty() && inFlight == 0 && now - refilledAt > 600 * SECOND;
    }
}
