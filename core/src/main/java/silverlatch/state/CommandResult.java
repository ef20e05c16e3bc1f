package silverlatch.state;

import java.util.List;

/** The result of a command. */
public sealed interface CommandResult {
    /** It took effect at this sequence. */
    record Applied(long sequence) implements CommandResult {}

    /** It never takes effect. The code is that of an HTTP status; the sequence is the current revision. */
    record Rejected(int code, List<String> faults, long sequence) implements CommandResult {
        /** Copies the faults. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /** The key is another request's; this is its claim. */
    record AlreadyClaimed(Value.Claim claim) implements CommandResult {}

    /** It is not known whether it took or will take effect; the id is the command's. */
    record Unknown(String id) implements CommandResult {}
}
