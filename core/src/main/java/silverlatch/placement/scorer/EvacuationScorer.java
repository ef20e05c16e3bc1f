package silverlatch.placement.scorer;

import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Vetoes workers in a zone that is being evacuated. */
public final class EvacuationScorer implements Scorer {
    @Override
    public String name() {
        return "zone";
    }

    @Override
    public double weight(final PlacementContext context) {
        return 0;
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        return context.evacuatingZones().contains(candidate.worker().zone())
                ? new ScorerResult.Veto("zone " + candidate.worker().zone() + " is being emptied")
                : new ScorerResult.Score(1);
    }
}
