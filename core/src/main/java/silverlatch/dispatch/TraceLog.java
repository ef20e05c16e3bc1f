package silverlatch.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.placement.WeightedScorers;

/** What is remembered of tickets so that a placement can be explained; bounded. */
public final class TraceLog {
    private final int capacity;
    private final LinkedHashMap<String, RequestTrace> traces = new LinkedHashMap<>();

    /** Remembers so many tickets. */
    public TraceLog(final int capacity) {
        this.capacity = capacity;
    }

    /** A ticket's story: whose, what was said, who was picked under which page and stamp, and how it stands. */
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
        /** Copies the opinions. */
        public RequestTrace {
            scores = List.copyOf(scores);
        }

        RequestTrace withState(final String newState, final String newReason) {
            return new RequestTrace(
                    requestId, tenant, kind, worker, revision, timestamp, newState, newReason, attempts, scores);
        }
    }

    /** Keeps a story. */
    public void put(final RequestTrace trace) {
        traces.remove(trace.requestId());
        traces.put(trace.requestId(), trace);
        if (traces.size() > capacity) {
            traces.remove(traces.keySet().iterator().next());
        }
    }

    /** Notes how a ticket stands. */
    public void recordState(final String requestId, final String state, final String reason) {
        traces.computeIfPresent(requestId, (k, trace) -> trace.withState(state, reason));
    }

    /** A ticket's story. */
    public Optional<RequestTrace> get(final String requestId) {
        return Optional.ofNullable(traces.get(requestId));
    }

    /** How many tickets stand in each state. */
    public Map<String, Long> countsByState() {
        return traces.values().stream()
                .collect(java.util.stream.Collectors.groupingBy(
                        RequestTrace::state, java.util.TreeMap::new, java.util.stream.Collectors.counting()));
    }
}
