package silverlatch.dispatch;

import java.util.List;
import silverlatch.node.Event;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.state.Command;

/**
 * An action that a {@link Dispatcher} requests from the gateway, which executes the actions in order. Times are in microseconds.
 */
public sealed interface DispatchEffect {
    /**
     * Reply to a client's call with the placement of its request.
     *
     * @param callId    the client's call
     * @param requestId the id assigned to the request
     * @param gateway   the HTTP address to submit the request to
     * @param permit    the signed permit to submit the request with
     * @param worker    the chosen worker, or empty if all are busy
     * @param revision  the revision of the replicated state that the choice is based on
     * @param timestamp when the worker was chosen, by the cluster's clock
     */
    record Placed(
            long callId, String requestId, String gateway, String permit, String worker, long revision, long timestamp)
            implements DispatchEffect {}

    /** Reply to a client's call with the HTTP addresses of other gateways, one of which the client should call instead. */
    record Redirected(long callId, List<String> endpoints) implements DispatchEffect {
        /** Makes a defensive copy of the addresses. */
        public Redirected {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Reply to a client's call with a rejection: the request did not run and never will.
     *
     * @param callId     the client's call
     * @param statusCode the HTTP status
     * @param requestId  the request's id, or empty if it has none
     * @param reason     why the request is rejected
     * @param retryAfter the time after which the client may retry, or 0
     * @param claimState the state of the claim that holds the idempotency key, or empty
     */
    record Rejected(long callId, int statusCode, String requestId, String reason, long retryAfter, String claimState)
            implements DispatchEffect {}

    /** Write records to the call that reads a response, and end the stream after them if {@code endOfStream}. */
    record StreamWrite(long callId, List<StreamRecord> records, boolean endOfStream) implements DispatchEffect {
        /** Makes a defensive copy of the records. */
        public StreamWrite {
            records = List.copyOf(records);
        }
    }

    /**
     * Send an attempt of a request to a worker, unless its first byte would be sent after the send deadline.
     *
     * @param operationId   identifies the attempt in the events that follow
     * @param sendDeadline  the latest time to send the first byte, by the monotonic clock
     * @param worker        the worker's id
     * @param address       the worker's network address
     * @param requestId     the request's id
     * @param attemptId     the attempt's id, unique in the cluster
     * @param tenant        the request's tenant
     * @param kind          the request's kind
     * @param prefixDigests salted digests of the prompt's prefixes, shortest first
     * @param prompt        the prompt to send
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

    /** Cancel the exchange with the worker of an attempt. */
    record CancelAttempt(long operationId) implements DispatchEffect {}

    /**
     * Submit a command to the replicated state. The gateway passes the result, which is {@code Unknown} if there is none
     * within the timeout, to {@link Dispatcher#onClaimResult}; a result for operation id 0 is ignored there.
     */
    record SubmitCommand(long operationId, Command command, long timeout) implements DispatchEffect {}

    /**
     * Record the choice of a worker with all inputs that are needed to reproduce it.
     *
     * @param context    the scorers' input about the request
     * @param candidates the scorers' input about the workers
     * @param seed       the seed of the random numbers
     * @param revision   the revision of the replicated state that the choice is based on
     * @param timestamp  when the worker was chosen, by the cluster's clock
     * @param worker     the chosen worker, or empty if none is allowed
     */
    record PlacementDecided(
            PlacementContext context,
            List<PlacementInput> candidates,
            long seed,
            long revision,
            long timestamp,
            String worker)
            implements DispatchEffect {
        /** Makes a defensive copy of the candidates. */
        public PlacementDecided {
            candidates = List.copyOf(candidates);
        }
    }

    /** Record how a request ended: the label of its final state, and the reason if it was rejected or lost. */
    record RequestEnded(String requestId, String state, String reason) implements DispatchEffect {}

    /** Write an event with its numeric id to the log. */
    record Log(Event event, String text) implements DispatchEffect {}
}
