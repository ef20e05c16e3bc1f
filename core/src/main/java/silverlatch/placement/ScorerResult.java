package silverlatch.placement;

/** What a judge finds of one worker for one ticket. */
public sealed interface ScorerResult {
    /** A score from 0 to 1. */
    record Score(double value) implements ScorerResult {}

    /** Never this worker. */
    record Veto(String reason) implements ScorerResult {}

    /** Not this worker now, but perhaps in a moment. */
    record Deferred(String reason) implements ScorerResult {}
}
