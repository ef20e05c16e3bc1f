package silverlatch.dispatch;

import java.util.random.RandomGenerator;
import silverlatch.node.Event;

/** Collects the output of a {@link Dispatcher}: effects in order, counters, and traces of requests. */
final class DispatchOutput extends EffectBuffer<DispatchEffect> {
    private static final int MAX_TRACES = 20_000;
    private final RandomGenerator random;

    /** Creates an empty output that takes the jitter of retry times from the given random numbers. */
    DispatchOutput(final RandomGenerator random) {
        super(MAX_TRACES);
        this.random = random;
    }

    /** Adds an event to write to the log. */
    void log(final Event event, final String text) {
        add(new DispatchEffect.Log(event, text));
    }

    /** Adds a reply that rejects a call; the request id is empty if none was assigned yet. */
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

    /** Returns one to two times the delay, so that clients that were rejected together don't retry together. */
    private long withJitter(final long retryAfter) {
        return retryAfter == 0 ? 0 : retryAfter + random.nextLong(retryAfter);
    }
}
