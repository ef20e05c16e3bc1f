package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Never lets work into a zone that is being emptied. */
public final class Zone implements Scorer {
    @Override
    public String name() {
        return "zone";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        return ticket.empty().contains(worker.worker().zone())
                ? new ScorerResult.Veto("zone " + worker.worker().zone() + " is being emptied")
                : new ScorerResult.Score(1);
    }
}
