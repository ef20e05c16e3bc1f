package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Favours a worker with free slots, and waits for a full one. */
public final class Load implements Scorer {
    @Override
    public String name() {
        return "load";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().loadWeight();
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        final int slots = Math.max(1, worker.worker().slots());
        if (worker.busy() >= slots || worker.mine() >= slots) {
            return new ScorerResult.Later("all " + slots + " slots are taken");
        }
        return new ScorerResult.Score(1 - (double) worker.busy() / slots);
    }
}
