package silverlatch.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.traffic.DemandMeter;

/** The open requests of a gateway by the client's call and by the attempt in flight; bounded. Owned by the routing event loop. */
final class OpenRequestTable {
    private final Slab<OpenRequest> slab;
    private final Map<Long, Long> handlesByCall = new HashMap<>();
    private final Map<Long, Long> handlesByAttempt = new HashMap<>();
    private final DemandMeter demand = new DemandMeter();
    private long lastAttemptId;

    /** A table for so many requests. */
    OpenRequestTable(final int capacity) {
        this.slab = new Slab<>(capacity);
    }

    /** What the requests that come and go ask of each pool. */
    DemandMeter demand() {
        return demand;
    }

    /** How many requests are open. */
    int size() {
        return slab.used();
    }

    /** Adds a request; false when the table is full. */
    boolean add(final OpenRequest open) {
        final Optional<Long> handle = slab.insert(open);
        handle.ifPresent(inserted -> {
            open.setHandle(inserted);
            handlesByCall.put(open.request().callId(), inserted);
            demand.requestOpened(open.pool(), open.request().tokens());
        });
        return handle.isPresent();
    }

    /** The request of a client's call. */
    Optional<OpenRequest> byCall(final long callId) {
        return Optional.ofNullable(handlesByCall.get(callId)).flatMap(slab::get);
    }

    /** The request whose newest attempt this is. */
    Optional<OpenRequest> byAttempt(final long attemptId) {
        return Optional.ofNullable(handlesByAttempt.get(attemptId))
                .flatMap(slab::get)
                .filter(open -> open.attemptId() == attemptId);
    }

    /** Begins an attempt of a request at a worker; gives its id. */
    long startAttempt(final OpenRequest open, final String worker) {
        lastAttemptId++;
        open.startAttempt(lastAttemptId, worker);
        handlesByAttempt.put(lastAttemptId, open.handle());
        return lastAttemptId;
    }

    /** Ends a request's newest attempt. */
    void endAttempt(final OpenRequest open) {
        handlesByAttempt.remove(open.attemptId());
    }

    /** Takes a request out. */
    void remove(final OpenRequest open) {
        if (slab.remove(open.handle()).isPresent()) {
            demand.requestClosed(open.pool(), open.request().tokens());
        }
        handlesByCall.remove(open.request().callId());
    }

    /** Calls the action for each request that is open now; the action may take it out. */
    void forEach(final Consumer<OpenRequest> action) {
        for (final long handle : List.copyOf(handlesByCall.values())) {
            slab.get(handle).ifPresent(action);
        }
    }
}
