package silverlatch.placement.scorer;

import java.util.List;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.Scorer;
import silverlatch.placement.ScorerResult;

/** Prefers workers whose prefix cache contains the longest part of the request's prefix. */
public final class PrefixCacheScorer implements Scorer {
    @Override
    public String name() {
        return "prefix";
    }

    @Override
    public double weight(final PlacementContext context) {
        return context.row().prefixWeight();
    }

    @Override
    public ScorerResult score(final PlacementContext context, final PlacementInput candidate) {
        final List<Long> wanted = context.prefixDigests();
        int cached = 0;
        while (cached < wanted.size() && candidate.worker().cachedPrefixes().contains(wanted.get(cached))) {
            cached++;
        }
        return new ScorerResult.Score(wanted.isEmpty() ? 0 : (double) cached / wanted.size());
    }
}
