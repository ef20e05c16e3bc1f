package silverlatch.routing;

import java.util.Optional;
import silverlatch.node.Event;

/** An action that a {@link Router} requests from the gateway, which applies the effects in order. Times are microseconds. */
public sealed interface RoutingEffect {
    /**
     * Sends the request to a worker. A stream that has already begun is resumed after the last forwarded event.
     *
     * @param callId            the id of the client's call
     * @param attemptId         the id of the attempt, by which later events refer to it
     * @param worker            the worker's id
     * @param address           the worker's address
     * @param timeout           how long the client still waits
     * @param priority          the priority of the request's tenant or route
     * @param executeAtMostOnce whether the request must not be sent again once it may have run
     * @param streaming         whether the response is a stream of events
     * @param tenant            the name of the tenant whose key the request has, if any
     */
    record StartAttempt(
            long callId,
            long attemptId,
            String worker,
            String address,
            long timeout,
            int priority,
            boolean executeAtMostOnce,
            boolean streaming,
            Optional<String> tenant)
            implements RoutingEffect {}

    /**
     * Rejects a request that did not run and never will. The client may retry after the given time; 0 means that it
     * must not retry.
     */
    record Reject(long callId, int statusCode, long retryAfter, String reason) implements RoutingEffect {}

    /** Fails a request that may have run: sends the status, or aborts a response that has already begun. */
    record Fail(long callId, int statusCode, String reason) implements RoutingEffect {}

    /** Forwards the worker's response unchanged. */
    record ForwardResponse(long callId, long attemptId) implements RoutingEffect {}

    /** Cancels the exchange with the worker. */
    record CancelAttempt(long attemptId) implements RoutingEffect {}

    /** Writes a numbered event to the log. */
    record Log(Event event, String text) implements RoutingEffect {}
}
