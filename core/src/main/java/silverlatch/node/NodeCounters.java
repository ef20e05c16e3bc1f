package silverlatch.node;

import java.util.HashMap;
import java.util.Map;

/** Counters of a node's transport, under the names that the metrics use. */
final class NodeCounters {
    /** Frames admitted. */
    static final String FRAMES = "frames";
    /** Frames rejected since their stamp is too far ahead. */
    static final String FAR_STAMPS = "far";
    /** Frames rejected since they belong to another fleet. */
    static final String OTHER_FLEETS = "fleet";
    /** Messages dropped since an overflow of the process clock delayed them for too long. */
    static final String OVERFLOWS = "overflow";
    /** Rejoins with a reset clock. */
    static final String REJOINS = "rejoins";

    private final Map<String, Long> counts = new HashMap<>();

    void increment(final String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns a copy of the counters; a counter that was never incremented is missing. */
    Map<String, Long> snapshot() {
        return Map.copyOf(counts);
    }
}
