package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Never lets a ticket out of its tenant's homes. */
public final class Home implements Scorer {
    @Override
    public String name() {
        return "home";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        return ticket.tenant().homeRegions().isEmpty()
                        || ticket.tenant()
                                .homeRegions()
                                .contains(worker.worker().region())
                ? new ScorerResult.Score(1)
                : new ScorerResult.Veto("region " + worker.worker().region() + " is no home");
    }
}
