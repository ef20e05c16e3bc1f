package silverlatch.state;

import java.util.List;
import java.util.Map;
import silverlatch.clock.Stamp;

/** A state machine of one replica: what a command writes is applied at once. */
final class CommandExecutor {
    private final StateMachine state = new StateMachine();
    private long sequence;

    StateMachine state() {
        return state;
    }

    /** The sequence of the next write. */
    long nextSequence() {
        return sequence + 1;
    }

    /** Applies entries that no command wrote. */
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

    /** The result of a command that writes nothing. */
    CommandResult reply(final Command command) {
        return ((Evaluation.Reply) execute(command)).result();
    }

    /** The rejection of a command, as a duplicate of it finds it. */
    CommandResult.Rejected rejected(final Command command) {
        execute(command);
        return (CommandResult.Rejected) reply(command);
    }
}
