package silverlatch.simulation.explore;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/**
 * Checks {@link Property#LATE_COMMAND}: a command on the zone whose caller has left never takes effect after a command that was
 * sent later and acknowledged.
 */
final class LateCommandMonitor {
    private final PropertyMonitor monitor;
    private final Map<Long, ZoneCommand> byToken = new HashMap<>();
    private final Map<String, Long> stepsOfLeaving = new HashMap<>();
    private final Map<Long, Long> acknowledgedSequences = new HashMap<>();

    /** A command: its id, the step in which it was sent, and the time at which its caller leaves, in microseconds. */
    private record ZoneCommand(String id, long sentAtStep, long callerLeavesAt) {}

    LateCommandMonitor(final PropertyMonitor monitor) {
        this.monitor = monitor;
    }

    /** Records a command on the zone. */
    void onSent(final String id, final long token, final long step, final long callerLeavesAt) {
        byToken.put(token, new ZoneCommand(id, step, callerLeavesAt));
    }

    /** Records the response to an operation; ignores all but the acknowledgement of a command on the zone. */
    void onResponse(final long token, final Object response) {
        if (byToken.containsKey(token) && response instanceof CommandResult.Applied applied) {
            acknowledgedSequences.put(token, applied.sequence());
        }
    }

    /** Records that the callers whose time has passed have left, unless they got an acknowledgement. */
    void onTimePassed(final long now, final long step) {
        byToken.forEach((token, command) -> {
            if (now >= command.callerLeavesAt() && !acknowledgedSequences.containsKey(token)) {
                stepsOfLeaving.putIfAbsent(command.id(), step);
            }
        });
    }

    /** Checks the committed state of a replica. */
    void check(final StateMachine state) {
        stepsOfLeaving.forEach((id, leftAtStep) -> sequenceOf(id, state)
                .ifPresent(sequence -> acknowledgedSequences.forEach((token, earlier) -> {
                    if (byToken.get(token).sentAtStep() > leftAtStep && earlier < sequence) {
                        monitor.reportViolation(
                                Property.LATE_COMMAND,
                                id + ", whose caller left at step " + leftAtStep + ", took effect at sequence "
                                        + sequence + " after " + byToken.get(token) + " at sequence " + earlier);
                    }
                })));
    }

    private static Optional<Long> sequenceOf(final String id, final StateMachine state) {
        return state.get(Documents.OUTCOME_PREFIX + id)
                .filter(entry -> entry.value().get(0) instanceof Value.CommandOutcome outcome && outcome.code() == 0)
                .map(Entry::sequence);
    }
}
