package silverlatch.dispatch;

import java.util.List;
import silverlatch.node.Event;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.state.Command;

/** What a {@link Dispatcher} wants to be done outside; the gateway does it in order. Times in microseconds. */
public sealed interface DispatchEffect {
    /**
     * Answer that a placement was made.
     *
     * @param callId    the client's call
     * @param requestId the id that the request got
     * @param gateway   the HTTP address to submit it to
     * @param permit    the signed permit to submit it with
     * @param worker    the worker that was chosen, or empty where all are busy
     * @param revision  the revision that the choice rests on
     * @param timestamp the choice's timestamp of the cluster's clock
     */
    record Placed(
            long callId, String requestId, String gateway, String permit, String worker, long revision, long timestamp)
            implements DispatchEffect {}

    /** Answer that one of these gateways is to be asked, by their HTTP addresses. */
    record Redirected(long callId, List<String> endpoints) implements DispatchEffect {
        /** Copies the addresses. */
        public Redirected {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Answer that the request did not run and never will.
     *
     * @param callId     the client's call
     * @param statusCode the HTTP status
     * @param requestId  the request's id, or empty where it has none
     * @param reason     why
     * @param retryAfter the time after which the client may try again, or 0
     * @param claimState how the claim that holds the idempotency key stands, or empty
     */
    record Rejected(long callId, int statusCode, String requestId, String reason, long retryAfter, String claimState)
            implements DispatchEffect {}

    /** Write records to the call that reads a response; nothing follows at the end of the stream. */
    record StreamWrite(long callId, List<StreamRecord> records, boolean endOfStream) implements DispatchEffect {
        /** Copies the records. */
        public StreamWrite {
            records = List.copyOf(records);
        }
    }

    /**
     * Ask a worker to run a request, unless its first byte would leave after the deadline.
     *
     * @param operationId   names the attempt in the events that follow
     * @param sendDeadline  the deadline by the monotonic clock
     * @param worker        the worker's id
     * @param address       where the worker is
     * @param requestId     the request
     * @param attemptId     the attempt, unique in the cluster
     * @param tenant        the request's tenant
     * @param kind          its kind
     * @param prefixDigests salted digests of its prefix, shortest first
     * @param prompt        what the worker is to read
     */
    record StartAttempt(
            long operationId,
            long sendDeadline,
            String worker,
            String address,
            String requestId,
            String attemptId,
            String tenant,
            String kind,
            List<Long> prefixDigests,
            String prompt)
            implements DispatchEffect {
        /** Copies the digests. */
        public StartAttempt {
            prefixDigests = List.copyOf(prefixDigests);
        }
    }

    /** Drop the exchange with the worker of an attempt. */
    record CancelAttempt(long operationId) implements DispatchEffect {}

    /** Submit a command to the replicated state; its result, or that the time is over, comes back for the operation unless it is 0. */
    record SubmitCommand(long operationId, Command command, long timeout) implements DispatchEffect {}

    /**
     * Record the choice of a worker with all that is needed to make it again.
     *
     * @param context    the request as the scorers saw it
     * @param candidates the workers as the scorers saw them
     * @param seed       the seed of the random numbers
     * @param revision   the revision that the choice rests on
     * @param timestamp  the choice's timestamp of the cluster's clock
     * @param worker     the worker that was chosen, or empty where none is allowed
     */
    record PlacementDecided(
            PlacementContext context,
            List<PlacementInput> candidates,
            long seed,
            long revision,
            long timestamp,
            String worker)
            implements DispatchEffect {
        /** Copies the candidates. */
        public PlacementDecided {
            candidates = List.copyOf(candidates);
        }
    }

    /** Record how a request ended: its final state by its label, and why. */
    record RequestEnded(String requestId, String state, String reason) implements DispatchEffect {}

    /** Write a numbered event to the log. */
    record Log(Event event, String text) implements DispatchEffect {}
}
