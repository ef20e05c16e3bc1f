package silverlatch.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Holds the requests that wait for a worker in one queue for each tenant and kind, and serves tenants in weighted fair order.
 *
 * <p>The order is start-time fair queuing. Each tenant has a virtual finish time. When a request is served, its tenant's finish
 * time grows by the request's cost divided by the tenant's quota share; the tenant with the lowest finish time is served next.
 * A tenant that was idle starts at the virtual time of the most recently served request, so that idle time earns no credit.
 * Among the queues of one tenant, the one with the higher priority is served first, and of equal ones the one that was served
 * least recently. Used only by the dispatch event loop.
 */
final class FairQueues {
    private static final long IDLE_CHECK_INTERVAL_MICROS = 1_000_000L;
    private static final double MIN_QUOTA_SHARE = 0.001;
    private final Map<String, RequestQueue> queues = new TreeMap<>();
    private final TreeMap<String, RequestQueue> nonEmptyQueues = new TreeMap<>();
    private final Map<String, TenantShare> tenantShares = new HashMap<>();
    private double virtualTime;
    private int size;
    private long lastIdleCheckAt;

    /** Returns the queue of a tenant and kind, which is created if it doesn't exist. */
    RequestQueue queueOf(final String tenant, final String kind) {
        return queues.computeIfAbsent(tenant + "/" + kind, name -> new RequestQueue(name, tenant, virtualTime));
    }

    /** Returns the queue that a request belongs to. */
    RequestQueue queueOf(final DispatchedRequest request) {
        return queueOf(request.permit().tenant(), request.permit().kind());
    }

    /** Returns how many requests are queued. */
    int size() {
        return size;
    }

    /** Adds a request at the tail of its queue. */
    void addLast(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        queue.addLast(request);
        recordAddition(queue);
    }

    /** Adds a request at the head of its queue. */
    void addFirst(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        queue.addFirst(request);
        recordAddition(queue);
    }

    private void recordAddition(final RequestQueue queue) {
        size++;
        nonEmptyQueues.put(queue.name(), queue);
    }

    /** Removes a request if it is queued. */
    void remove(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        if (queue.remove(request)) {
            size--;
            if (queue.isEmpty()) {
                nonEmptyQueues.remove(queue.name());
            }
        }
    }

    /** Returns the queue whose first request is next in the fair order, ignoring the blocked queues. */
    Optional<RequestQueue> next(final Set<RequestQueue> blocked) {
        return nonEmptyQueues.values().stream()
                .filter(queue -> !blocked.contains(queue))
                .min(Comparator.comparingDouble(
                                (RequestQueue queue) -> shareOf(queue).virtualFinishTime())
                        .thenComparing(queue -> -queue.first().row().priority())
                        .thenComparingDouble(RequestQueue::lastServedVirtualTime));
    }

    /** Removes the first request of a queue because it is dispatched, and charges its tenant for it. */
    void serve(final RequestQueue queue) {
        final DispatchedRequest request = queue.first();
        remove(request);
        final TenantShare share = shareOf(queue);
        virtualTime = Math.max(virtualTime, share.virtualFinishTime());
        share.charge(
                virtualTime,
                request.cost() / Math.max(MIN_QUOTA_SHARE, request.tenant().quotaShare()));
        queue.recordServed(virtualTime);
    }

    /** Returns the queued request of the lowest priority; of several, the one whose permit expires last. */
    Optional<DispatchedRequest> lowestPriority() {
        return nonEmptyQueues.values().stream()
                .flatMap(queue -> queue.requests().stream())
                .min(Comparator.comparingInt(
                                (DispatchedRequest request) -> request.row().priority())
                        .thenComparing(request -> -request.permit().expiry()));
    }

    /** Calls the action for each request that is queued now; the action may remove it. */
    void forEachQueued(final Consumer<DispatchedRequest> action) {
        for (final RequestQueue queue : List.copyOf(nonEmptyQueues.values())) {
            queue.requests().forEach(action);
        }
    }

    /**
     * Removes idle queues, and then the shares of tenants that have no queue left. Called on each tick; does its work at most
     * once a second.
     */
    void removeIdle(final long now) {
        if (now - lastIdleCheckAt < IDLE_CHECK_INTERVAL_MICROS) {
            return;
        }
        lastIdleCheckAt = now;
        if (queues.values().removeIf(queue -> queue.isIdle(now))) {
            tenantShares
                    .keySet()
                    .retainAll(
                            queues.values().stream().map(RequestQueue::tenant).collect(Collectors.toSet()));
        }
    }

    private TenantShare shareOf(final RequestQueue queue) {
        return tenantShares.computeIfAbsent(queue.tenant(), tenant -> new TenantShare(virtualTime));
    }
}
