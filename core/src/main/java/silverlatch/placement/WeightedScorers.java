package silverlatch.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.placement.scorer.AvailabilityScorer;
import silverlatch.placement.scorer.EvacuationScorer;
import silverlatch.placement.scorer.HomeRegionScorer;
import silverlatch.placement.scorer.LoadScorer;
import silverlatch.placement.scorer.LocalityScorer;
import silverlatch.placement.scorer.PrefixCacheScorer;
import silverlatch.placement.scorer.SlowStartScorer;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** Hears all judges on all workers and picks. */
public final class WeightedScorers {
    private static final double NEAR_BEST = 0.08;
    private final List<Scorer> scorers;

    /** A court of the given judges. */
    public WeightedScorers(final List<Scorer> scorers) {
        this.scorers = List.copyOf(scorers);
    }

    /** The judges of the product; a word on a worker counts up to the given age. */
    public static WeightedScorers allScorers(final long maxReportAge) {
        return allScorers(maxReportAge, Safeguards.ALL);
    }

    /** The same, without the judges whose guard is down. */
    public static WeightedScorers allScorers(final long maxReportAge, final Safeguards safeguards) {
        final List<Scorer> all =
                new ArrayList<>(List.of(new PrefixCacheScorer(), new LoadScorer(), new LocalityScorer()));
        all.addAll(constraintScorers(maxReportAge, safeguards));
        if (safeguards.isEnabled(Safeguard.RAMP)) {
            all.add(new SlowStartScorer(safeguards.isEnabled(Safeguard.WARM)));
        }
        return new WeightedScorers(all);
    }

    /** The judges that are heard once more at the instant of dispatch. */
    public static WeightedScorers constraints(final long maxReportAge, final Safeguards safeguards) {
        return new WeightedScorers(constraintScorers(maxReportAge, safeguards));
    }

    private static List<Scorer> constraintScorers(final long maxReportAge, final Safeguards safeguards) {
        final List<Scorer> all = new ArrayList<>();
        if (safeguards.isEnabled(Safeguard.SERVED)) {
            all.add(new HomeRegionScorer());
        }
        if (safeguards.isEnabled(Safeguard.ZONE)) {
            all.add(new EvacuationScorer());
        }
        all.add(new AvailabilityScorer(safeguards.isEnabled(Safeguard.WORD) ? maxReportAge : Long.MAX_VALUE));
        return all;
    }

    /** One judge's finding on one worker, with the weight it had. */
    public record WeightedScore(String worker, String scorer, ScorerResult result, double weight) {}

    /** What the court decides. */
    public sealed interface Decision {
        /** All that was said. */
        List<WeightedScore> scores();

        /** This worker. */
        record Selected(PlacementInput candidate, List<WeightedScore> scores) implements Decision {}

        /** None now, but one may have room in a moment. */
        record AllBusy(List<WeightedScore> scores) implements Decision {}

        /** None is allowed. */
        record NoneAllowed(List<WeightedScore> scores) implements Decision {}
    }

    /** Picks a worker for a ticket. */
    public Decision select(
            final PlacementContext context, final List<PlacementInput> candidates, final RandomGenerator random) {
        final List<WeightedScore> scores = new ArrayList<>();
        final List<RatedWorker> rated = new ArrayList<>();
        boolean anyDeferred = false;
        for (final PlacementInput candidate : candidates) {
            double weightedSum = 0;
            double totalWeight = 0;
            boolean isVetoed = false;
            boolean isDeferred = false;
            for (final Scorer scorer : scorers) {
                final double weight = scorer.weight(context);
                final ScorerResult result = scorer.score(context, candidate);
                scores.add(new WeightedScore(candidate.worker().id(), scorer.name(), result, weight));
                switch (result) {
                    case ScorerResult.Score s -> weightedSum += weight * s.value();
                    case ScorerResult.Veto v -> isVetoed = true;
                    case ScorerResult.Deferred l -> isDeferred = true;
                }
                totalWeight += weight;
            }
            if (!isVetoed && !isDeferred) {
                rated.add(new RatedWorker(candidate, totalWeight == 0 ? 0 : weightedSum / totalWeight));
            }
            anyDeferred |= !isVetoed && isDeferred;
        }
        if (rated.isEmpty()) {
            return anyDeferred ? new Decision.AllBusy(scores) : new Decision.NoneAllowed(scores);
        }
        final double best = rated.stream().mapToDouble(RatedWorker::score).max().orElse(0);
        final List<RatedWorker> nearBest = new ArrayList<>(rated.stream()
                .filter(r -> r.score() >= best - NEAR_BEST)
                .sorted(Comparator.comparingLong((RatedWorker r) ->
                        tieBreakHash(context.requestId(), r.candidate().worker().id())))
                .toList());
        final RatedWorker first = nearBest.remove(random.nextInt(nearBest.size()));
        final Optional<RatedWorker> second =
                nearBest.isEmpty() ? Optional.empty() : Optional.of(nearBest.get(random.nextInt(nearBest.size())));
        final RatedWorker winner = second.filter(t -> freeRatio(t) > freeRatio(first)
                        || freeRatio(t) == freeRatio(first) && t.score() > first.score())
                .orElse(first);
        return new Decision.Selected(winner.candidate(), scores);
    }

    /** Whether any judge still stands against the worker, at the instant of dispatch. */
    public boolean accepts(final PlacementContext context, final PlacementInput candidate) {
        return scorers.stream().allMatch(scorer -> scorer.score(context, candidate) instanceof ScorerResult.Score);
    }

    private static double freeRatio(final RatedWorker rated) {
        return 1
                - (double) rated.candidate().occupiedSlots()
                        / Math.max(1, rated.candidate().worker().slots());
    }

    private static long tieBreakHash(final String requestId, final String workerId) {
        long hash = 0xCBF29CE484222325L;
        final String text = requestId + "/" + workerId;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash ^ hash >>> 31;
    }

    private record RatedWorker(PlacementInput candidate, double score) {}
}
