package silverlatch.tariff;

import java.util.List;

/** What came of a wish. */
public sealed interface Verdict {
    /** It took effect at this sequence. */
    record Kept(long sequence) implements Verdict {
    }

    /** It never takes effect: the HTTP-like code, the faults, and the present sequence. */
    record Rejected(int code, List<String> faults, long sequence) implements Verdict {
        /** Copies the faults. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /** Another ticket holds the key; this is how it stands. */
    record Stands(Leaf.Claim claim) implements Verdict {
    }

    /** Not known yet whether it takes effect. */
    record Unknown(String id) implements Verdict {
    }
}
