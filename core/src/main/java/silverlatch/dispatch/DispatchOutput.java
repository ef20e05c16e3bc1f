package silverlatch.dispatch;

import java.util.random.RandomGenerator;
import silverlatch.node.Event;

/** What a {@link Dispatcher} has to say: effects in the order in which they arose, counters, and traces of requests. */
final class DispatchOutput extends EffectBuffer<DispatchEffect> {
    private static final int MAX_TRACES = 20_000;
    private final RandomGenerator random;

    /** Spreads the times at which rejected clients come back by the given random numbers. */
    DispatchOutput(final RandomGenerator random) {
        super(MAX_TRACES);
        this.random = random;
    }

    /** A numbered event for the log. */
    void log(final Event event, final String text) {
        add(new DispatchEffect.Log(event, text));
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
                withJitter(rejection.retryAfter()),
                rejection.claimState()));
    }

    /** One to two times the delay, so that clients rejected together don't come back together. */
    private long withJitter(final long retryAfter) {
        return retryAfter == 0 ? 0 : retryAfter + random.nextLong(retryAfter);
    }
}
