package silverlatch.dispatch;

import java.util.EnumMap;
import java.util.Map;

/**
 * Where a dispatched request stands. This is the only place that says which transitions are legal:
 *
 * <pre>
 * NEW -> QUEUED -> STARTING -> RUNNING -> DONE
 *        QUEUED -> CLAIMING -> STARTING            (requests with an idempotency key)
 *                  STARTING -> QUEUED              (retry)
 * NEW, QUEUED, CLAIMING, STARTING -> REJECTED
 *                        STARTING, RUNNING -> LOST
 * </pre>
 *
 * <p>A request that may have run is never REJECTED: clients submit a rejected request again.
 */
enum RequestState {
    /** Not admitted yet. */
    NEW("new"),
    /** Waits for a worker. */
    QUEUED("queued"),
    /** Holds a slot of a worker and waits for the claim of its idempotency key to be committed. */
    CLAIMING("claiming"),
    /** A worker was asked and gave no sign of having started. */
    STARTING("asking"),
    /** A worker runs it. */
    RUNNING("running"),
    /** Final: the response is complete. */
    DONE("done"),
    /** Final: it did not run and never will. */
    REJECTED("rejected"),
    /** Final: it may have run, and the response is incomplete. */
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
     * The state that an event leads to.
     *
     * @throws IllegalRequestTransitionException if this state does not take the event
     */
    RequestState after(final RequestEvent event) {
        final RequestState next = TRANSITIONS.getOrDefault(this, Map.of()).get(event);
        if (next == null) {
            throw new IllegalRequestTransitionException(this, event);
        }
        return next;
    }

    /** Whether nothing follows on this state. */
    boolean isFinal() {
        return !TRANSITIONS.containsKey(this);
    }

    /** The state's name in the API, in counters, in traces and in stored claims. */
    String label() {
        return label;
    }
}
