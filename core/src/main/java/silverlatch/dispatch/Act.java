package silverlatch.dispatch;

import java.util.List;
import silverlatch.node.Event;
import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.state.Command;

/** What carrying wants done in the world outside. */
public sealed interface Act {
    /** The pick is made: where to go, and with what. */
    record Picked(long token, String ticket, String carrier, String permit, String worker, long page, long stamp)
            implements Act {}

    /** Another gateway is to be asked. */
    record Pointed(long token, List<String> doors) implements Act {
        /** Copies the doors. */
        public Pointed {
            doors = List.copyOf(doors);
        }
    }

    /** It did not run and never will: code, why, how long to stay away in microseconds, how a held key stands. */
    record Rejected(long token, int code, String ticket, String why, long after, String stands) implements Act {}

    /** Lines for the consumer's stream; last when nothing follows. */
    record Flow(long token, List<Line> lines, boolean last) implements Act {
        /** Copies the lines. */
        public Flow {
            lines = List.copyOf(lines);
        }
    }

    /** Ask a worker to run, if no byte of it would leave after the due time of the monotonic clock. */
    record Run(
            long job,
            long due,
            String worker,
            String address,
            String ticket,
            String run,
            String tenant,
            String kind,
            List<Long> prefix,
            String prompt)
            implements Act {
        /** Copies the prefix. */
        public Run {
            prefix = List.copyOf(prefix);
        }
    }

    /** Drop what is under way with a worker. */
    record Cut(long job) implements Act {}

    /** Ask the chain; the verdict comes back under the job. */
    record Claim(long job, Command wish, long span) implements Act {}

    /** A placement as it was judged, for a recorded day: all that is needed to judge it again. */
    record Judged(Case plea, List<PlacementInput> sights, long seed, long page, long stamp, String worker)
            implements Act {
        /** Copies the sights. */
        public Judged {
            sights = List.copyOf(sights);
        }
    }

    /** How a ticket ended, for a recorded day. */
    record Ended(String ticket, String state, String why) implements Act {}

    /** A numbered event for the log. */
    record Log(Event event, String text) implements Act {}
}
