package silverlatch.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.dispatch.TraceLog;
import silverlatch.node.Event;

/** What a {@link Router} has to say: effects in the order in which they arose, counters, and traces of requests. */
final class RoutingOutput {
    private static final int MAX_TRACES = 2_000;
    private final List<RoutingEffect> effects = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final TraceLog traces = new TraceLog(MAX_TRACES);

    /** Something to be done outside. */
    void add(final RoutingEffect effect) {
        effects.add(effect);
    }

    /** A numbered event for the log. */
    void log(final Event event, final String text) {
        effects.add(new RoutingEffect.Log(event, text));
    }

    /** Refuses a request that did not run; it may come back after so many microseconds. */
    void reject(final long callId, final int statusCode, final long retryAfter, final String reason) {
        count("rejected_" + statusCode);
        effects.add(new RoutingEffect.Reject(callId, statusCode, retryAfter, reason));
    }

    /** Adds one to a counter. */
    void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Hands over the effects, each once. */
    List<RoutingEffect> drain() {
        final List<RoutingEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** The counters by name. */
    Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    /** The traces of requests. */
    TraceLog traces() {
        return traces;
    }
}
