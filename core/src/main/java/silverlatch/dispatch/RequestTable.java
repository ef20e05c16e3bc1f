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
 * All requests that a gateway has: open ones by id and by the operation they wait for, and ended ones that are kept to be
 * read again. It is bounded; ended requests count. Owned by the dispatch event loop.
 */
final class RequestTable {
    private final Slab<DispatchedRequest> slab;
    private final Map<String, Long> openHandles = new HashMap<>();
    private final Map<Long, Long> handlesByOperation = new HashMap<>();
    private final Deque<EndedRequest> ended = new ArrayDeque<>();
    private long lastOperationId;

    /** A request that has ended, and when, by the monotonic clock in microseconds. */
    private record EndedRequest(DispatchedRequest request, long endedAt) {}

    /** A table for so many requests. */
    RequestTable(final int capacity) {
        this.slab = new Slab<>(capacity);
    }

    /** Whether no further request can be added. */
    boolean isFull() {
        return slab.used() >= slab.capacity();
    }

    /** How many requests are open. */
    int openCount() {
        return openHandles.size();
    }

    /** Whether a request of this id is open. */
    boolean isOpen(final String requestId) {
        return openHandles.containsKey(requestId);
    }

    /** Adds an open request; false when the table is full. */
    boolean add(final DispatchedRequest request) {
        final Optional<Long> handle = slab.insert(request);
        handle.ifPresent(inserted -> {
            request.setHandle(inserted);
            openHandles.put(request.id(), inserted);
        });
        return handle.isPresent();
    }

    /** The request of a handle, open or ended. */
    Optional<DispatchedRequest> byHandle(final long handle) {
        return slab.get(handle);
    }

    /** The request of an id, open or ended. */
    Optional<DispatchedRequest> byId(final String requestId) {
        return Optional.ofNullable(openHandles.get(requestId))
                .flatMap(slab::get)
                .or(() -> ended.stream()
                        .map(EndedRequest::request)
                        .filter(request -> request.id().equals(requestId))
                        .findFirst());
    }

    /** Begins an operation of a request; the one before it is over. */
    long beginOperation(final DispatchedRequest request) {
        handlesByOperation.remove(request.operationId());
        lastOperationId++;
        request.setOperationId(lastOperationId);
        handlesByOperation.put(lastOperationId, request.handle());
        return lastOperationId;
    }

    /** The operation that a request waits for is over; what still comes of it is ignored. */
    void endOperation(final DispatchedRequest request) {
        handlesByOperation.remove(request.operationId());
    }

    /** The request that waits for an operation. */
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

    /** An open request has ended; it is kept to be read again. */
    void end(final DispatchedRequest request, final long endedAt) {
        handlesByOperation.remove(request.operationId());
        openHandles.remove(request.id());
        ended.add(new EndedRequest(request, endedAt));
    }

    /** The ended requests that are kept, oldest first. */
    List<DispatchedRequest> ended() {
        return ended.stream().map(EndedRequest::request).toList();
    }

    /** Takes out the oldest ended request if it ended before the time, or if more than the capacity are kept. */
    Optional<DispatchedRequest> removeOldestEnded(final long before) {
        final EndedRequest oldest = ended.peek();
        if (oldest == null || oldest.endedAt() >= before && ended.size() <= slab.capacity()) {
            return Optional.empty();
        }
        ended.remove();
        slab.remove(oldest.request().handle());
        return Optional.of(oldest.request());
    }

    /** Takes out an ended request. */
    void removeEnded(final DispatchedRequest request) {
        ended.removeIf(kept -> kept.request() == request);
        slab.remove(request.handle());
    }
}
