package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Spares a worker that just came, and lets it take more step by step. */
public final class Cold implements Scorer {
    private static final long EVER = 1_000_000_000_000L;
    private final boolean grows;

    /** A judge whose patience ends when the worker is warm. */
    public Cold(final boolean grows) {
        this.grows = grows;
    }

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().warmupWeight();
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        final double warmth = worker.warmth();
        if (!grows && worker.back() < EVER) {
            return new ScorerResult.Later("it is never warm");
        }
        if (warmth < 1 && (worker.busy() >= worker.cap() || worker.mine() >= worker.part())) {
            return new ScorerResult.Later("it warms up, " + worker.cap() + " at once for now");
        }
        return new ScorerResult.Score(warmth);
    }
}
