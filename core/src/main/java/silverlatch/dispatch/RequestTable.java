package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import silverlatch.dispatch.buffer.Slab;

/**
 * Holds all requests of a gateway: open ones, found by id and by the operation that they wait for, and ended ones, which are
 * retained so that clients can read their responses again. Bounded; the bound includes the ended requests. Used only by the
 * dispatch event loop.
 */
final class RequestTable {
    private final Slab<DispatchedRequest> slab;
    private final Map<String, Long> openHandles = new HashMap<>();
    private final Map<Long, Long> handlesByOperation = new HashMap<>();
    private final Deque<EndedRequest> ended = new ArrayDeque<>();
    private long lastOperationId;

    /** An ended request, and when it ended by the monotonic clock in microseconds. */
    private record EndedRequest(DispatchedRequest request, long endedAt) {}

    /** Creates an empty table for at most the given number of requests. */
    RequestTable(final int capacity) {
        this.slab = new Slab<>(capacity);
    }

    /** Returns whether no further request can be added. */
    boolean isFull() {
        return slab.used() >= slab.capacity();
    }

    /** Returns how many requests are open. */
    int openCount() {
        return openHandles.size();
    }

    /** Returns whether the request of an id is open. */
    boolean isOpen(final String requestId) {
        return openHandles.containsKey(requestId);
    }

    /** Adds an open request and sets its handle; returns false if the table is full. */
    boolean add(final DispatchedRequest request) {
        final Optional<Long> handle = slab.insert(request);
        handle.ifPresent(inserted -> {
            request.setHandle(inserted);
            openHandles.put(request.id(), inserted);
        });
        return handle.isPresent();
    }

    /** Returns the request of a handle, open or ended. */
    Optional<DispatchedRequest> byHandle(final long handle) {
        return slab.get(handle);
    }

    /** Returns the request of an id, open or ended. */
    Optional<DispatchedRequest> byId(final String requestId) {
        return Optional.ofNullable(openHandles.get(requestId))
                .flatMap(slab::get)
                .or(() -> ended.stream()
                        .map(EndedRequest::request)
                        .filter(request -> request.id().equals(requestId))
                        .findFirst());
    }

    /** Begins a new operation of a request, which ends the previous one, and returns its id. */
    long beginOperation(final DispatchedRequest request) {
        handlesByOperation.remove(request.operationId());
        lastOperationId++;
        request.setOperationId(lastOperationId);
        handlesByOperation.put(lastOperationId, request.handle());
        return lastOperationId;
    }

    /** Ends the operation that a request waits for; later events of it are ignored. */
    void endOperation(final DispatchedRequest request) {
        handlesByOperation.remove(request.operationId());
    }

    /** Returns the request that waits for an operation. */
    Optional<DispatchedRequest> byOperation(final long operationId) {
        return Optional.ofNullable(handlesByOperation.get(operationId))
                .flatMap(slab::get)
                .filter(request -> request.operationId() == operationId);
    }

    /** Calls the action for each request that is open now; the action may end requests. */
    void forEachOpen(final Consumer<DispatchedRequest> action) {
        for (final long handle : List.copyOf(openHandles.values())) {
            slab.get(handle).ifPresent(action);
        }
    }

    /** Marks an open request as ended; it is retained so that its response can be read again. */
    void end(final DispatchedRequest request, final long endedAt) {
        handlesByOperation.remove(request.operationId());
        openHandles.remove(request.id());
        ended.add(new EndedRequest(request, endedAt));
    }

    /** Returns the retained ended requests, oldest first. */
    List<DispatchedRequest> ended() {
        return ended.stream().map(EndedRequest::request).toList();
    }

    /** Removes the oldest ended request if it ended before the given time, or if more ended ones than the capacity are held. */
    Optional<DispatchedRequest> removeOldestEnded(final long before) {
        final EndedRequest oldest = ended.peek();
        if (oldest == null || oldest.endedAt() >= before && ended.size() <= slab.capacity()) {
            return Optional.empty();
        }
        ended.remove();
        slab.remove(oldest.request().handle());
        return Optional.of(oldest.request());
    }

    /** Removes an ended request. */
    void removeEnded(final DispatchedRequest request) {
        ended.removeIf(kept -> kept.request() == request);
        slab.remove(request.handle());
    }
}
