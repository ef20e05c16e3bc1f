package silverlatch.judge;

/** What a judge finds of one worker for one ticket. */
public sealed interface Finding {
    /** A score from 0 to 1. */
    record Score(double value) implements Finding {
    }

    /** Never this worker. */
    record Veto(String why) implements Finding {
    }

    /** Not this worker now, but perhaps in a moment. */
    record Later(String why) implements Finding {
    }
}
