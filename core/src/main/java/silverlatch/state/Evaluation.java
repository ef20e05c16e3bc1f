package silverlatch.state;

import java.util.List;

/** Outcome of evaluating a command at the head of the chain. */
public sealed interface Evaluation {
    /** The command writes these entries. Its result is known once they are committed. */
    record Write(List<Entry> entries) implements Evaluation {}

    /** The command writes nothing. Its result may depend on entries that are not committed yet. */
    record Reply(CommandResult result) implements Evaluation {}
}
