package silverlatch.state;

import java.util.List;

/** What comes of evaluating a command at the head of the chain. */
public sealed interface Evaluation {
    /** The command writes these entries; its result is known once they are committed. */
    record Write(List<Entry> entries) implements Evaluation {}

    /** The command writes nothing; what its result rests on may still have to be committed. */
    record Reply(CommandResult result) implements Evaluation {}
}
