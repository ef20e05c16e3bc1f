package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Queues a tenant's requests of one kind. Also holds how many of them are in flight, when one was last served in virtual time,
 * and the token bucket of the rate limit. Used only by the dispatch event loop; times are in microseconds.
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

    /** Creates an empty queue with a full token bucket, whose last service counts as the given virtual time. */
    RequestQueue(final String name, final String tenant, final double virtualTime) {
        this.name = name;
        this.tenant = tenant;
        this.lastServedVirtualTime = virtualTime;
    }

    /** Returns the queue's name, which consists of tenant and kind. */
    String name() {
        return name;
    }

    /** Returns the tenant whose requests the queue holds. */
    String tenant() {
        return tenant;
    }

    /** Returns how many requests are queued. */
    int size() {
        return requests.size();
    }

    /** Returns whether no request is queued. */
    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns the request at the head; the queue must not be empty. */
    DispatchedRequest first() {
        return requests.element();
    }

    /** Returns a copy of the queued requests, from head to tail. */
    List<DispatchedRequest> requests() {
        return List.copyOf(requests);
    }

    /** Adds a request at the tail. */
    void addLast(final DispatchedRequest request) {
        requests.addLast(request);
    }

    /** Adds a request at the head. */
    void addFirst(final DispatchedRequest request) {
        requests.addFirst(request);
    }

    /** Removes a request; returns false if it wasn't queued here. */
    boolean remove(final DispatchedRequest request) {
        return requests.remove(request);
    }

    /** Returns the virtual time at which a request of this queue was last served. */
    double lastServedVirtualTime() {
        return lastServedVirtualTime;
    }

    /** Counts a request as in flight and records the virtual time at which it was served. */
    void recordServed(final double virtualTime) {
        lastServedVirtualTime = virtualTime;
        inFlight++;
    }

    /** Counts a request as no longer in flight. */
    void recordReleased() {
        inFlight--;
    }

    /** Returns how many requests of this queue hold a worker slot. */
    int inFlight() {
        return inFlight;
    }

    /**
     * Takes a token from the bucket; returns false if there is none.
     *
     * @param rate  tokens added per second
     * @param burst the capacity of the bucket in tokens
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

    /**
     * Returns whether no request is queued or in flight and no placement, for which a token is taken, was requested in the last
     * ten minutes.
     */
    boolean isIdle(final long now) {
        return requests.isEmpty() && inFlight == 0 && now - refilledAt > IDLE_MICROS;
    }
}
