package silverlatch.routing;

import silverlatch.node.Event;

/** What passage wants done in the world outside. */
public sealed interface RoutingEffect {
    /** Send the ticket to a worker; it waits so many microseconds yet. A stream that has begun goes on after what was passed on. */
    record StartAttempt(
            long callId,
            long attemptId,
            String worker,
            String address,
            long timeout,
            int rank,
            boolean once,
            boolean stream)
            implements RoutingEffect {}

    /** It did not run and never will; it may come back after so many microseconds. */
    record Reject(long callId, int statusCode, long retryAfter, String reason) implements RoutingEffect {}

    /** It may have run and came to nothing: this code, or a broken reply where one has begun. */
    record Fail(long callId, int statusCode, String reason) implements RoutingEffect {}

    /** The worker's own reply is passed on as it is. */
    record ForwardResponse(long callId, long attemptId) implements RoutingEffect {}

    /** Drop what is under way with a worker. */
    record CancelAttempt(long attemptId) implements RoutingEffect {}

    /** A numbered event for the log. */
    record Log(Event event, String text) implements RoutingEffect {}
}
