package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Slow start: a worker that has just started gets few requests at once, then gradually as many as the other workers. */
public final class SlowStartScorer implements Scorer {
    /** The time since recovery of a worker that was never silent is longer than this. */
    private static final long NO_RECOVERY_MICROS = 1_000_000_000_000L;

    private final boolean completesSlowStart;

    /**
     * Creates a scorer.
     *
     * @param completesSlowStart whether a worker that recovered ever gets its full share of requests again; false in
     *                           tests only
     */
    public SlowStartScorer(final boolean warmsUp) {
        this.completesSlowStart = warmsUp;
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
        final double warmth = candidate.warmupProgress();
        if (!completesSlowStart && candidate.sinceRecovery() < NO_RECOVERY_MICROS) {
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
