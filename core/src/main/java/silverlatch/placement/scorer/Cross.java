package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Counts the cost of leaving the zone or the region. */
public final class Cross implements Scorer {
    @Override
    public String name() {
        return "cross";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().localityWeight();
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        if (!worker.worker().region().equals(ticket.region())) {
            return new ScorerResult.Score(0);
        }
        return new ScorerResult.Score(worker.worker().zone().equals(ticket.zone()) ? 1 : 0.6);
    }
}
