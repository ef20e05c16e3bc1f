package silverlatch.node;

import java.util.HashMap;
import java.util.Map;

/** Counts of what a node's transport brought, under the names that the metrics use. */
final class NodeCounters {
    /** Frames taken. */
    static final String FRAMES = "frames";
    /** Frames rejected since their stamp was too far ahead. */
    static final String FAR_STAMPS = "far";
    /** Frames of other fleets. */
    static final String OTHER_FLEETS = "fleet";
    /** Messages given up since the clock overflowed for too long. */
    static final String OVERFLOWS = "overflow";
    /** Rejoins with a new clock. */
    static final String REJOINS = "rejoins";

    private final Map<String, Long> counts = new HashMap<>();

    void increment(final String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns a copy of the counts; what never happened isn't in it. */
    Map<String, Long> snapshot() {
        return Map.copyOf(counts);
    }
}
