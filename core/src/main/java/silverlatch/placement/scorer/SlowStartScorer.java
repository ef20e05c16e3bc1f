package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Slow start: a worker that just came takes few requests at once, and step by step as many as the others. */
public final class SlowStartScorer implements Scorer {
    /** A worker that was never silent seems to have come back longer ago than this. */
    private static final long NO_RECOVERY_MICROS = 1_000_000_000_000L;

    private final boolean completesSlowStart;

    /** A scorer; with false, for tests, a worker that came back never takes its full part again. */
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
