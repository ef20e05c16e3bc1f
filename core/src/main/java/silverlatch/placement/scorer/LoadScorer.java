package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Prefers workers with free slots, and defers workers whose slots are all occupied. */
public final class LoadScorer implements Scorer {
    @Override
    public String name() {
        return "load";
    }

    @Override
    public double weight(final PlacementContext context) {
        return context.row().loadWeight();
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        final int slots = Math.max(1, candidate.worker().slots());
        if (candidate.occupiedSlots() >= slots || candidate.ownAttempts() >= slots) {
            return new ScorerResult.Deferred("all " + slots + " slots are taken");
        }
        return new ScorerResult.Score(1 - (double) candidate.occupiedSlots() / slots);
    }
}
