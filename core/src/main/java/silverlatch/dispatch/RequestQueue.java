package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The queue of a tenant's requests of one kind, how many of them are in flight, its place in the fair order, and its token
 * bucket. Owned by the dispatch event loop; times in microseconds.
 */
final class RequestQueue {
    private static final long SECOND = 1_000_000L;
    private static final long IDLE_MICROS = 600 * SECOND;
    private final String name;
    private final String tenant;
    private final Deque<DispatchedRequest> requests = new ArrayDeque<>();
    private double lastServedVirtualTime;
    private int inFlight;
    private double rateTokens = -1;
    private long refilledAt;

    /** An empty queue that comes into the fair order at a virtual time; its token bucket is full. */
    RequestQueue(final String name, final String tenant, final double virtualTime) {
        this.name = name;
        this.tenant = tenant;
        this.lastServedVirtualTime = virtualTime;
    }

    /** Its name: tenant and kind. */
    String name() {
        return name;
    }

    /** Whose requests it holds. */
    String tenant() {
        return tenant;
    }

    /** How many requests wait. */
    int size() {
        return requests.size();
    }

    /** Whether no request waits. */
    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** The request that goes next; the queue isn't empty. */
    DispatchedRequest first() {
        return requests.element();
    }

    /** A copy of the requests that wait, first one first. */
    List<DispatchedRequest> requests() {
        return List.copyOf(requests);
    }

    /** Adds a request behind the others. */
    void addLast(final DispatchedRequest request) {
        requests.addLast(request);
    }

    /** Puts a request before the others. */
    void addFirst(final DispatchedRequest request) {
        requests.addFirst(request);
    }

    /** Takes a request out; false if it didn't wait here. */
    boolean remove(final DispatchedRequest request) {
        return requests.remove(request);
    }

    /** The virtual time at which a request of it was last served. */
    double lastServedVirtualTime() {
        return lastServedVirtualTime;
    }

    /** A request of it is in flight from now on. */
    void recordServed(final double virtualTime) {
        lastServedVirtualTime = virtualTime;
        inFlight++;
    }

    /** A request of it is no longer in flight. */
    void recordReleased() {
        inFlight--;
    }

    /** How many of its requests hold a worker's slot. */
    int inFlight() {
        return inFlight;
    }

    /**
     * Takes a token from the bucket; false when there is none.
     *
     * @param rate  tokens a second
     * @param burst the most tokens that the bucket holds
     */
    boolean tryAcquireRateToken(final double rate, final double burst, final long now) {
        rateTokens = rateTokens < 0 ? burst : Math.min(burst, rateTokens + (now - refilledAt) * rate / SECOND);
        refilledAt = now;
        if (rateTokens < 1) {
            return false;
        }
        rateTokens--;
        return true;
    }

    /** Whether nothing waits or is in flight and no placement was asked for in the last ten minutes. */
    boolean isIdle(final long now) {
        return requests.isEmpty() && inFlight == 0 && now - refilledAt > IDLE_MICROS;
    }
}
