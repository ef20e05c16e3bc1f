package silverlatch.placement;

/** What a {@link Scorer} says of one worker for one request. */
public sealed interface ScorerResult {
    /** A score from 0 to 1, where 1 is best. */
    record Score(double value) implements ScorerResult {}

    /** The worker is not allowed. */
    record Veto(String reason) implements ScorerResult {}

    /** The worker is allowed, but can't take the request now. */
    record Deferred(String reason) implements ScorerResult {}
}
