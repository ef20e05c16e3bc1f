package silverlatch.routing;

import silverlatch.dispatch.EffectBuffer;
import silverlatch.node.Event;

/** What a {@link Router} has to say: effects in the order in which they arose, counters, and traces of requests. */
final class RoutingOutput extends EffectBuffer<RoutingEffect> {
    private static final int MAX_TRACES = 2_000;

    /** An empty output. */
    RoutingOutput() {
        super(MAX_TRACES);
    }

    /** A numbered event for the log. */
    void log(final Event event, final String text) {
        add(new RoutingEffect.Log(event, text));
    }

    /** Refuses a request that did not run; it may come back after so many microseconds. */
    void reject(final long callId, final int statusCode, final long retryAfter, final String reason) {
        count("rejected_" + statusCode);
        add(new RoutingEffect.Reject(callId, statusCode, retryAfter, reason));
    }
}
