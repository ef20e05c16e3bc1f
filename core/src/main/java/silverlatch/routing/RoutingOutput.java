package silverlatch.routing;

import silverlatch.dispatch.EffectBuffer;
import silverlatch.node.Event;

/** Collects the output of a {@link Router}: effects in the order in which they arise, counters, and traces of requests. */
final class RoutingOutput extends EffectBuffer<RoutingEffect> {
    private static final int MAX_TRACES = 2_000;

    /** Creates an empty output. */
    RoutingOutput() {
        super(MAX_TRACES);
    }

    /** Adds a numbered event for the log. */
    void log(final Event event, final String text) {
        add(new RoutingEffect.Log(event, text));
    }

    /**
     * Rejects a request that did not run; the client may retry after the given time in microseconds, or not at all if
     * that is 0.
     */
    void reject(final long callId, final int statusCode, final long retryAfter, final String reason) {
        count("rejected_" + statusCode);
        add(new RoutingEffect.Reject(callId, statusCode, retryAfter, reason));
    }
}
