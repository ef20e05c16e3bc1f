package silverlatch.placement;

/** The result of a {@link Scorer} for one worker and one request. */
public sealed interface ScorerResult {
    /** A score from 0 to 1, where 1 is best. */
    record Score(double value) implements ScorerResult {}

    /** The worker must not run the request. */
    record Veto(String reason) implements ScorerResult {}

    /** The worker may run the request, but not now. */
    record Deferred(String reason) implements ScorerResult {}
}
