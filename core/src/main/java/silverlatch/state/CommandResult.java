package silverlatch.state;

import java.util.List;

/** The result of a command. */
public sealed interface CommandResult {
    /** The command took effect at this sequence. */
    record Applied(long sequence) implements CommandResult {}

    /** The command never takes effect. The code is an HTTP status; the sequence is the current revision. */
    record Rejected(int code, List<String> faults, long sequence) implements CommandResult {
        /** Copies the faults. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /** The key is bound to another request; this is that request's claim. */
    record AlreadyClaimed(Value.Claim claim) implements CommandResult {}

    /** It is unknown whether the command has taken or will take effect. The id is the command's. */
    record Unknown(String id) implements CommandResult {}
}
