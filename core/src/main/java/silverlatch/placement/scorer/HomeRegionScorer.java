package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Vetoes workers outside the tenant's home regions. */
public final class HomeRegionScorer implements Scorer {
    @Override
    public String name() {
        return "home";
    }

    @Override
    public double weight(final PlacementContext context) {
        return 0;
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        return context.tenant().homeRegions().isEmpty()
                        || context.tenant()
                                .homeRegions()
                                .contains(candidate.worker().region())
                ? new ScorerResult.Score(1)
                : new ScorerResult.Veto("region " + candidate.worker().region() + " is no home");
    }
}
