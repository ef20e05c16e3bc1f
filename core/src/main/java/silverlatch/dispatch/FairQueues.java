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
 * The requests that wait for a worker, one queue for each tenant and kind, in weighted fair order between tenants.
 *
 * <p>Start-time fair queuing: each tenant has a virtual finish time that grows by a request's cost over the tenant's quota
 * share when one is served, and the tenant with the least goes next; a tenant that was idle starts at the virtual time of
 * the newest service. Between kinds of one tenant the higher priority goes first, then the one served longest ago.
 * Owned by the dispatch event loop.
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

    /** The queue of a tenant and kind; an empty one if there was none. */
    RequestQueue queueOf(final String tenant, final String kind) {
        return queues.computeIfAbsent(tenant + "/" + kind, name -> new RequestQueue(name, tenant, virtualTime));
    }

    /** The queue that a request belongs to. */
    RequestQueue queueOf(final DispatchedRequest request) {
        return queueOf(request.permit().tenant(), request.permit().kind());
    }

    /** How many requests wait. */
    int size() {
        return size;
    }

    /** Adds a request behind the others of its tenant and kind. */
    void addLast(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        queue.addLast(request);
        recordAddition(queue);
    }

    /** Puts a request before the others of its tenant and kind. */
    void addFirst(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        queue.addFirst(request);
        recordAddition(queue);
    }

    private void recordAddition(final RequestQueue queue) {
        size++;
        nonEmptyQueues.put(queue.name(), queue);
    }

    /** Takes a request out, if it waits. */
    void remove(final DispatchedRequest request) {
        final RequestQueue queue = queueOf(request);
        if (queue.remove(request)) {
            size--;
            if (queue.isEmpty()) {
                nonEmptyQueues.remove(queue.name());
            }
        }
    }

    /** The queue whose first request goes next, without those that can't be served now. */
    Optional<RequestQueue> next(final Set<RequestQueue> blocked) {
        return nonEmptyQueues.values().stream()
                .filter(queue -> !blocked.contains(queue))
                .min(Comparator.comparingDouble(
                                (RequestQueue queue) -> shareOf(queue).virtualFinishTime())
                        .thenComparing(queue -> -queue.first().row().priority())
                        .thenComparingDouble(RequestQueue::lastServedVirtualTime));
    }

    /** Takes the first request of a queue out because it is served, and charges its tenant. */
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

    /** The request of the lowest priority that waits, the newest of these. */
    Optional<DispatchedRequest> lowestPriority() {
        return nonEmptyQueues.values().stream()
                .flatMap(queue -> queue.requests().stream())
                .min(Comparator.comparingInt(
                                (DispatchedRequest request) -> request.row().priority())
                        .thenComparing(request -> -request.permit().expiry()));
    }

    /** Calls the action for each request that waits now; the action may take it out. */
    void forEachQueued(final Consumer<DispatchedRequest> action) {
        for (final RequestQueue queue : List.copyOf(nonEmptyQueues.values())) {
            queue.requests().forEach(action);
        }
    }

    /** Forgets queues and tenants that have been idle for long; called on each tick. */
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
