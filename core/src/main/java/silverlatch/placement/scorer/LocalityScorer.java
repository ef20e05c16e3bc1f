package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Prefers workers in the gateway's zone, then those in its region. */
public final class LocalityScorer implements Scorer {
    private static final double SAME_REGION_SCORE = 0.6;

    @Override
    public String name() {
        return "cross";
    }

    @Override
    public double weight(final PlacementContext context) {
        return context.row().localityWeight();
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        if (!candidate.worker().region().equals(context.gatewayRegion())) {
            return new ScorerResult.Score(0);
        }
        return new ScorerResult.Score(candidate.worker().zone().equals(context.gatewayZone()) ? 1 : SAME_REGION_SCORE);
    }
}
