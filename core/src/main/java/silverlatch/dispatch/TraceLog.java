package silverlatch.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import silverlatch.placement.WeightedScorers;

/** What is remembered of the newest requests so that their placement can be explained. Bounded; not thread-safe. */
public final class TraceLog {
    private final int capacity;
    private final LinkedHashMap<String, RequestTrace> traces = new LinkedHashMap<>();

    /** A log of so many requests. */
    public TraceLog(final int capacity) {
        this.capacity = capacity;
    }

    /**
     * The trace of one request.
     *
     * @param requestId its id
     * @param tenant    its tenant, or empty
     * @param kind      its kind, or the name of its route
     * @param worker    the worker that was chosen, or empty
     * @param revision  the revision of the configuration at that time
     * @param timestamp the timestamp of the choice
     * @param state     where the request stands
     * @param reason    why it ended so, or empty
     * @param attempts  how many attempts were made before the choice
     * @param scores    what the scorers said of each worker
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
        /** Copies the scores. */
        public RequestTrace {
            scores = List.copyOf(scores);
        }

        RequestTrace withState(final String newState, final String newReason) {
            return new RequestTrace(
                    requestId, tenant, kind, worker, revision, timestamp, newState, newReason, attempts, scores);
        }
    }

    /** Puts a trace in the place of an older one of the request; the oldest request is forgotten when there are too many. */
    public void put(final RequestTrace trace) {
        traces.remove(trace.requestId());
        traces.put(trace.requestId(), trace);
        if (traces.size() > capacity) {
            traces.remove(traces.keySet().iterator().next());
        }
    }

    /** Notes where a request stands, if it is remembered. */
    public void recordState(final String requestId, final String state, final String reason) {
        traces.computeIfPresent(requestId, (id, trace) -> trace.withState(state, reason));
    }

    /** The trace of a request. */
    public Optional<RequestTrace> get(final String requestId) {
        return Optional.ofNullable(traces.get(requestId));
    }
}
