package silverlatch.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.traffic.DemandMeter;

/**
 * The open requests of a gateway, indexed by client call and by attempt in flight; bounded. Confined to the routing
 * event loop.
 */
final class OpenRequestTable {
    private final Slab<OpenRequest> slab;
    private final Map<Long, Long> handlesByCall = new HashMap<>();
    private final Map<Long, Long> handlesByAttempt = new HashMap<>();
    private final DemandMeter demand = new DemandMeter();
    private long lastAttemptId;

    /** Creates a table with room for the given number of requests. */
    OpenRequestTable(final int capacity) {
        this.slab = new Slab<>(capacity);
    }

    /** Returns the meter of the demand that these requests make on each pool. */
    DemandMeter demand() {
        return demand;
    }

    /** Returns how many requests are open. */
    int size() {
        return slab.used();
    }

    /** Adds a request; returns false if the table is full. */
    boolean add(final OpenRequest open) {
        final Optional<Long> handle = slab.insert(open);
        handle.ifPresent(inserted -> {
            open.setHandle(inserted);
            handlesByCall.put(open.request().callId(), inserted);
            demand.requestOpened(open.pool(), open.request().tokens());
        });
        return handle.isPresent();
    }

    /** Returns the open request of a client's call. */
    Optional<OpenRequest> byCall(final long callId) {
        return Optional.ofNullable(handlesByCall.get(callId)).flatMap(slab::get);
    }

    /** Returns the open request whose current attempt has this id. */
    Optional<OpenRequest> byAttempt(final long attemptId) {
        return Optional.ofNullable(handlesByAttempt.get(attemptId))
                .flatMap(slab::get)
                .filter(open -> open.attemptId() == attemptId);
    }

    /** Records a new attempt of a request at a worker and returns its id. */
    long startAttempt(final OpenRequest open, final String worker) {
        lastAttemptId++;
        open.startAttempt(lastAttemptId, worker);
        handlesByAttempt.put(lastAttemptId, open.handle());
        return lastAttemptId;
    }

    /** Ends the current attempt of a request. */
    void endAttempt(final OpenRequest open) {
        handlesByAttempt.remove(open.attemptId());
    }

    /** Removes a request. */
    void remove(final OpenRequest open) {
        if (slab.remove(open.handle()).isPresent()) {
            demand.requestClosed(open.pool(), open.request().tokens());
        }
        handlesByCall.remove(open.request().callId());
    }

    /** Calls the action for each request that is open now. The action may remove it. */
    void forEach(final Consumer<OpenRequest> action) {
        for (final long handle : List.copyOf(handlesByCall.values())) {
            slab.get(handle).ifPresent(action);
        }
    }
}
