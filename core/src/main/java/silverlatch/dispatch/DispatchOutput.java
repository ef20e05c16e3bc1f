package silverlatch.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import silverlatch.node.Event;

/** What a {@link Dispatcher} has to say: effects in the order in which they arose, counters, and traces of requests. */
final class DispatchOutput {
    private static final int MAX_TRACES = 20_000;
    private final RandomGenerator random;
    private final List<DispatchEffect> effects = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final TraceLog traces = new TraceLog(MAX_TRACES);

    /** Spreads the times at which rejected clients come back by the given random numbers. */
    DispatchOutput(final RandomGenerator random) {
        this.random = random;
    }

    /** Something to be done outside. */
    void add(final DispatchEffect effect) {
        effects.add(effect);
    }

    /** A numbered event for the log. */
    void log(final Event event, final String text) {
        effects.add(new DispatchEffect.Log(event, text));
    }

    /** Answers a call with a refusal; the request id is empty where there is none yet. */
    void reject(final long callId, final String requestId, final Rejection rejection) {
        count("code" + rejection.statusCode());
        if (!requestId.isEmpty()) {
            log(Event.TICKET_REJECTED, requestId + " " + rejection.statusCode() + " " + rejection.reason());
        }
        add(new DispatchEffect.Rejected(
                callId,
                rejection.statusCode(),
                requestId,
                rejection.reason(),
                spread(rejection.retryAfter()),
                rejection.claimState()));
    }

    /** Adds one to a counter. */
    void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Hands over the effects, each once. */
    List<DispatchEffect> drain() {
        final List<DispatchEffect> drained = List.copyOf(effects);
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

    /** One to two times the delay, so that clients rejected together don't come back together. */
    private long spread(final long retryAfter) {
        return retryAfter == 0 ? 0 : retryAfter + random.nextLong(retryAfter);
    }
}
