package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Counts the cost of leaving the zone or the region. */
public final class LocalityScorer implements Scorer {
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
        return new ScorerResult.Score(candidate.worker().zone().equals(context.gatewayZone()) ? 1 : 0.6);
    }
}
