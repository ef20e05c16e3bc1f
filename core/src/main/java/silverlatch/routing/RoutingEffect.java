package silverlatch.routing;

import java.util.Optional;
import silverlatch.node.Event;

/** What a {@link Router} wants to be done outside; the gateway does it in order. Times in microseconds. */
public sealed interface RoutingEffect {
    /**
     * Send the request to a worker. A stream that has begun goes on after what was passed on.
     *
     * @param callId    the client's call
     * @param attemptId names the attempt in the events that follow
     * @param worker    the worker's id
     * @param address   where the worker is
     * @param timeout   how long the client still waits
     * @param priority      the priority of the request's tenant or route
     * @param executeAtMostOnce      whether it may not be sent again once it may have run
     * @param streaming    whether the response is a stream of events
     * @param tenant    the name of the tenant whose key the request brought, if there is one
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

    /** The request did not run and never will; the client may send it again after the time, or not at all where it is 0. */
    record Reject(long callId, int statusCode, long retryAfter, String reason) implements RoutingEffect {}

    /** The request may have run and failed: answer with the status, or break off a response that has begun. */
    record Fail(long callId, int statusCode, String reason) implements RoutingEffect {}

    /** Pass on the worker's own response as it is. */
    record ForwardResponse(long callId, long attemptId) implements RoutingEffect {}

    /** Drop the exchange with the worker. */
    record CancelAttempt(long attemptId) implements RoutingEffect {}

    /** Write a numbered event to the log. */
    record Log(Event event, String text) implements RoutingEffect {}
}
