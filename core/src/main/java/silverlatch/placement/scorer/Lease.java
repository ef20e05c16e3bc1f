package silverlatch.placement.scorer;

import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Never lets work to a worker that leaves, whose word is too old, or where a try failed just now. */
public final class Lease implements Scorer {
    private final long oldest;

    /** With the age beyond which a word counts for nothing. */
    public Lease(final long oldest) {
        this.oldest = oldest;
    }

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        if (worker.worker().draining()) {
            return new ScorerResult.Veto("it is leaving");
        }
        if (worker.age() > oldest) {
            return new ScorerResult.Veto("its word is older than " + oldest / 1000 + " ms");
        }
        return worker.shunned() ? new ScorerResult.Later("a try there failed just now") : new ScorerResult.Score(1);
    }
}
