package silverlatch.state;

import java.util.List;
import java.util.Map;
import silverlatch.clock.Stamp;

/** Executes commands on a single state machine and applies their writes at once, without replication. */
final class CommandExecutor {
    private final StateMachine state = new StateMachine();
    private long sequence;

    StateMachine state() {
        return state;
    }

    /** Returns the sequence of the next write. */
    long nextSequence() {
        return sequence + 1;
    }

    /** Applies entries that were not written by a command. */
    void apply(final List<Entry> writes) {
        state.apply(++sequence, writes);
    }

    Evaluation execute(final Command command) {
        final Evaluation evaluation = state.evaluate(command, Map.of(), nextSequence(), new Stamp(nextSequence()));
        if (evaluation instanceof Evaluation.Write write) {
            apply(write.entries());
        }
        return evaluation;
    }

    /** Executes a command that must write nothing, and returns its result. */
    CommandResult reply(final Command command) {
        return ((Evaluation.Reply) execute(command)).result();
    }

    /** Executes a command that must be rejected, and returns the rejection that a duplicate of it gets. */
    CommandResult.Rejected rejected(final Command command) {
        execute(command);
        return (CommandResult.Rejected) reply(command);
    }
}
