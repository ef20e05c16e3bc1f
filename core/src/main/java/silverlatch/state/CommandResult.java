package silverlatch.state;

import java.util.List;

/** What came of a wish. */
public sealed interface CommandResult {
    /** It took effect at this sequence. */
    record Applied(long sequence) implements CommandResult {}

    /** It never takes effect: the HTTP-like code, the faults, and the present sequence. */
    record Rejected(int code, List<String> faults, long sequence) implements CommandResult {
        /** Copies the faults. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /** Another ticket holds the key; this is how it stands. */
    record AlreadyClaimed(Value.Claim claim) implements CommandResult {}

    /** Not known yet whether it takes effect. */
    record Unknown(String id) implements CommandResult {}
}
