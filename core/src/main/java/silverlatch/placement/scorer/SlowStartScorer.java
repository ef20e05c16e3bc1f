package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Spares a worker that just came, and lets it take more step by step. */
public final class SlowStartScorer implements Scorer {
    private static final long NEVER_RETURNED_MICROS = 1_000_000_000_000L;
    private final boolean warmsUp;

    /** A judge whose patience ends when the worker is warm. */
    public SlowStartScorer(final boolean warmsUp) {
        this.warmsUp = warmsUp;
    }

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public double weight(final PlacementContext context) {
        return context.row().warmupWeight();
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        final double warmth = candidate.warmth();
        if (!warmsUp && candidate.sinceReturn() < NEVER_RETURNED_MICROS) {
            return new ScorerResult.Deferred("it is never warm");
        }
        if (warmth < 1
                && (candidate.occupiedSlots() >= candidate.slotLimit()
                        || candidate.ownAttempts() >= candidate.ownSlotLimit())) {
            return new ScorerResult.Deferred("it warms up, " + candidate.slotLimit() + " at once for now");
        }
        return new ScorerResult.Score(warmth);
    }
}
