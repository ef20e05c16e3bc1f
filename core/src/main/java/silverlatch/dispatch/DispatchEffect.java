package silverlatch.dispatch;

import java.util.List;
import silverlatch.node.Event;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.state.Command;

/** What carrying wants done in the world outside. */
public sealed interface DispatchEffect {
    /** The pick is made: where to go, and with what. */
    record Placed(
            long callId, String requestId, String gateway, String permit, String worker, long revision, long timestamp)
            implements DispatchEffect {}

    /** Another gateway is to be asked. */
    record Redirected(long callId, List<String> endpoints) implements DispatchEffect {
        /** Copies the doors. */
        public Redirected {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** It did not run and never will: code, why, how long to stay away in microseconds, how a held key stands. */
    record Rejected(long callId, int statusCode, String requestId, String reason, long retryAfter, String claimState)
            implements DispatchEffect {}

    /** Lines for the consumer's stream; last when nothing follows. */
    record StreamWrite(long callId, List<StreamRecord> records, boolean endOfStream) implements DispatchEffect {
        /** Copies the lines. */
        public StreamWrite {
            records = List.copyOf(records);
        }
    }

    /** Ask a worker to run, if no byte of it would leave after the due time of the monotonic clock. */
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
        /** Copies the prefix. */
        public StartAttempt {
            prefixDigests = List.copyOf(prefixDigests);
        }
    }

    /** Drop what is under way with a worker. */
    record CancelAttempt(long operationId) implements DispatchEffect {}

    /** Ask the chain; the verdict comes back under the job. */
    record SubmitCommand(long operationId, Command command, long timeout) implements DispatchEffect {}

    /** A placement as it was judged, for a recorded day: all that is needed to judge it again. */
    record PlacementDecided(
            PlacementContext context,
            List<PlacementInput> candidates,
            long seed,
            long revision,
            long timestamp,
            String worker)
            implements DispatchEffect {
        /** Copies the sights. */
        public PlacementDecided {
            candidates = List.copyOf(candidates);
        }
    }

    /** How a ticket ended, for a recorded day. */
    record RequestEnded(String requestId, String state, String reason) implements DispatchEffect {}

    /** A numbered event for the log. */
    record Log(Event event, String text) implements DispatchEffect {}
}
