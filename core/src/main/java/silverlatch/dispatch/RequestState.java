package silverlatch.dispatch;

import java.util.EnumMap;
import java.util.Map;

/**
 * The state of a dispatched request. The transitions below are the only legal ones, and they are defined only here:
 *
 * <pre>
 * NEW -> QUEUED -> STARTING -> RUNNING -> DONE
 *        QUEUED -> CLAIMING -> STARTING            (requests with an idempotency key)
 *                  STARTING -> QUEUED              (retry)
 * NEW, QUEUED, CLAIMING, STARTING -> REJECTED
 *                        STARTING, RUNNING -> LOST
 * </pre>
 *
 * <p>Invariant: a request that may have run is never REJECTED, because clients submit a rejected request again.
 */
enum RequestState {
    /** Created, but not yet admitted to a queue. */
    NEW("new"),
    /** Waits in a queue for a worker. */
    QUEUED("queued"),
    /** Holds a worker slot and waits until the claim of its idempotency key is committed. */
    CLAIMING("claiming"),
    /** An attempt was sent to a worker, which has not yet indicated that it runs the request. */
    STARTING("asking"),
    /** A worker runs the request. */
    RUNNING("running"),
    /** Final: the response is complete. */
    DONE("done"),
    /** Final: the request did not run and never will. */
    REJECTED("rejected"),
    /** Final: the request may have run, and its response is incomplete. */
    LOST("lost");

    private static final Map<RequestState, Map<RequestEvent, RequestState>> TRANSITIONS = transitions();
    private final String label;

    RequestState(final String label) {
        this.label = label;
    }

    private static Map<RequestState, Map<RequestEvent, RequestState>> transitions() {
        final Map<RequestState, Map<RequestEvent, RequestState>> table = new EnumMap<>(RequestState.class);
        table.put(NEW, Map.of(RequestEvent.ENQUEUE, QUEUED, RequestEvent.REJECT, REJECTED));
        table.put(
                QUEUED,
                Map.of(
                        RequestEvent.CLAIM,
                        CLAIMING,
                        RequestEvent.START_ATTEMPT,
                        STARTING,
                        RequestEvent.REJECT,
                        REJECTED));
        table.put(CLAIMING, Map.of(RequestEvent.START_ATTEMPT, STARTING, RequestEvent.REJECT, REJECTED));
        table.put(
                STARTING,
                Map.of(
                        RequestEvent.RETRY,
                        QUEUED,
                        RequestEvent.RUN,
                        RUNNING,
                        RequestEvent.REJECT,
                        REJECTED,
                        RequestEvent.LOSE,
                        LOST));
        table.put(RUNNING, Map.of(RequestEvent.COMPLETE, DONE, RequestEvent.LOSE, LOST));
        return table;
    }

    /**
     * Returns the state that follows this one after an event.
     *
     * @throws IllegalRequestTransitionException if the event is illegal in this state
     */
    RequestState after(final RequestEvent event) {
        final RequestState next = TRANSITIONS.getOrDefault(this, Map.of()).get(event);
        if (next == null) {
            throw new IllegalRequestTransitionException(this, event);
        }
        return next;
    }

    /** Returns whether this state has no transition to another one. */
    boolean isFinal() {
        return !TRANSITIONS.containsKey(this);
    }

    /** Returns the state's name in the API, in counters, in traces and in stored claims. */
    String label() {
        return label;
    }
}
