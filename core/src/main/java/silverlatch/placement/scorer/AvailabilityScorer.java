package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Vetoes workers that are draining or whose report is too old, and defers workers where an attempt failed recently. */
public final class AvailabilityScorer implements Scorer {
    private final long maxReportAge;

    /**
     * Creates a scorer.
     *
     * @param maxReportAge the age in microseconds beyond which a worker's report is ignored
     */
    public AvailabilityScorer(final long maxReportAge) {
        this.maxReportAge = maxReportAge;
    }

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public double weight(final PlacementContext context) {
        return 0;
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        if (candidate.worker().draining()) {
            return new ScorerResult.Veto("it is leaving");
        }
        if (candidate.reportAge() > maxReportAge) {
            return new ScorerResult.Veto("its word is older than " + maxReportAge / 1000 + " ms");
        }
        return candidate.isEjected()
                ? new ScorerResult.Deferred("a try there failed just now")
                : new ScorerResult.Score(1);
    }
}
