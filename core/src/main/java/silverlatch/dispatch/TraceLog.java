package silverlatch.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import silverlatch.placement.WeightedScorers;

/** Keeps traces of the newest requests, by which their placement can be explained. Bounded; not thread-safe. */
public final class TraceLog {
    private final int capacity;
    private final LinkedHashMap<String, RequestTrace> traces = new LinkedHashMap<>();

    /** Creates a log of at most the given number of requests. */
    public TraceLog(final int capacity) {
        this.capacity = capacity;
    }

    /**
     * The trace of one request.
     *
     * @param requestId the request's id
     * @param tenant    the request's tenant, or empty
     * @param kind      the request's kind, or the name of its route
     * @param worker    the chosen worker, or empty
     * @param revision  the revision of the configuration when the worker was chosen
     * @param timestamp when the worker was chosen, by the cluster's clock
     * @param state     the label of the request's state
     * @param reason    why the request ended in that state, or empty
     * @param attempts  the number of attempts before the choice
     * @param scores    the results of the scorers for each worker
     */
    public record RequestTrace(
            String requestId,
            String tenant,
            String kind,
            String worker,
            long revision,
            long timestamp,
            String state,
            String reason,
            int attempts,
            List<WeightedScorers.WeightedScore> scores) {
        /** Makes a defensive copy of the scores. */
        public RequestTrace {
            scores = List.copyOf(scores);
        }

        RequestTrace withState(final String newState, final String newReason) {
            return new RequestTrace(
                    requestId, tenant, kind, worker, revision, timestamp, newState, newReason, attempts, scores);
        }
    }

    /** Adds a trace, which replaces an older one of the same request; removes the oldest trace if the capacity is exceeded. */
    public void put(final RequestTrace trace) {
        traces.remove(trace.requestId());
        traces.put(trace.requestId(), trace);
        if (traces.size() > capacity) {
            traces.remove(traces.keySet().iterator().next());
        }
    }

    /** Records a request's state and the reason for it, if there is a trace of the request. */
    public void recordState(final String requestId, final String state, final String reason) {
        traces.computeIfPresent(requestId, (id, trace) -> trace.withState(state, reason));
    }

    /** Returns the trace of a request, if it is kept. */
    public Optional<RequestTrace> get(final String requestId) {
        return Optional.ofNullable(traces.get(requestId));
    }
}
