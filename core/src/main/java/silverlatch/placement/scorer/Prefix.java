package silverlatch.placement.scorer;

import java.util.List;
import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Favours a worker that keeps the longest part of the prefix. */
public final class Prefix implements Scorer {
    @Override
    public String name() {
        return "prefix";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().prefixWeight();
    }

    @Override
    public ScorerResult weigh(final Case ticket, final PlacementInput worker) {
        final List<Long> want = ticket.prefix();
        int held = 0;
        while (held < want.size() && worker.worker().cachedPrefixes().contains(want.get(held))) {
            held++;
        }
        return new ScorerResult.Score(want.isEmpty() ? 0 : (double) held / want.size());
    }
}
