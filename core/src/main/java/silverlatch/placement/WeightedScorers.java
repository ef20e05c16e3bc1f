package silverlatch.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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
import silverlatch.util.Fnv1a;

/**
 * Selects a worker by several scorers. A worker that any scorer vetoes or defers isn't selected. Among the workers
 * whose weighted score is nearly the best, two are drawn at random and the one with more free slots is taken (power of
 * two choices). Immutable; the same input and random numbers give the same selection.
 */
public final class WeightedScorers {
    /** Scores at most this much below the best one count as equal. */
    private static final double NEAR_BEST = 0.08;

    private final List<Scorer> scorers;

    /** Creates a selection by the given scorers. */
    public WeightedScorers(final List<Scorer> scorers) {
        this.scorers = List.copyOf(scorers);
    }

    /**
     * Returns a selection by all scorers.
     *
     * @param maxReportAge the age in microseconds beyond which a worker's report is ignored
     */
    public static WeightedScorers allScorers(final long maxReportAge) {
        return allScorers(maxReportAge, Safeguards.ALL);
    }

    /**
     * Returns a selection by all scorers except those whose safeguard is disabled; for tests.
     *
     * @param maxReportAge the age in microseconds beyond which a worker's report is ignored
     */
    public static WeightedScorers allScorers(final long maxReportAge, final Safeguards safeguards) {
        final List<Scorer> all =
                new ArrayList<>(List.of(new PrefixCacheScorer(), new LoadScorer(), new LocalityScorer()));
        all.addAll(constraintScorers(maxReportAge, safeguards));
        if (safeguards.isEnabled(Safeguard.SLOW_START)) {
            all.add(new SlowStartScorer(safeguards.isEnabled(Safeguard.SLOW_START_END)));
        }
        return new WeightedScorers(all);
    }

    /** Returns a selection by the scorers that enforce constraints. They are checked again at the moment of dispatch. */
    public static WeightedScorers constraints(final long maxReportAge, final Safeguards safeguards) {
        return new WeightedScorers(constraintScorers(maxReportAge, safeguards));
    }

    private static List<Scorer> constraintScorers(final long maxReportAge, final Safeguards safeguards) {
        final List<Scorer> all = new ArrayList<>();
        if (safeguards.isEnabled(Safeguard.WORKER_HOME_REGION)) {
            all.add(new HomeRegionScorer());
        }
        if (safeguards.isEnabled(Safeguard.EVACUATION)) {
            all.add(new EvacuationScorer());
        }
        all.add(new AvailabilityScorer(safeguards.isEnabled(Safeguard.REPORT_AGE) ? maxReportAge : Long.MAX_VALUE));
        return all;
    }

    /**
     * The result of one scorer for one worker.
     *
     * @param worker the worker's id
     * @param scorer the scorer's name
     * @param result the result
     * @param weight the weight of the result
     */
    public record WeightedScore(String worker, String scorer, ScorerResult result, double weight) {}

    /** The outcome of a selection, with all results that led to it. */
    public sealed interface Decision {
        /** Returns the result of each scorer for each worker. */
        List<WeightedScore> scores();

        /** A worker was selected. */
        record Selected(PlacementInput candidate, List<WeightedScore> scores) implements Decision {}

        /** No worker was selected, but at least one that is allowed may have capacity later. */
        record AllBusy(List<WeightedScore> scores) implements Decision {}

        /** No worker was selected, because none is allowed. */
        record NoneAllowed(List<WeightedScore> scores) implements Decision {}
    }

    /** Selects one of the candidates for a request. */
    public Decision select(
            final PlacementContext context, final List<PlacementInput> candidates, final RandomGenerator random) {
        final List<WeightedScore> scores = new ArrayList<>();
        final List<RatedWorker> rated = new ArrayList<>();
        boolean anyDeferred = false;
        for (final PlacementInput candidate : candidates) {
            final Rating rating = rate(context, candidate, scores);
            if (rating.isAvailable()) {
                rated.add(new RatedWorker(candidate, rating.score()));
            }
            anyDeferred |= rating.isOnlyDeferred();
        }
        if (rated.isEmpty()) {
            return anyDeferred ? new Decision.AllBusy(scores) : new Decision.NoneAllowed(scores);
        }
        return new Decision.Selected(twoChoices(nearBest(context, rated), random), scores);
    }

    /** Rates a candidate by all scorers, and adds their results to the scores. */
    private Rating rate(
            final PlacementContext context, final PlacementInput candidate, final List<WeightedScore> scores) {
        double weightedSum = 0;
        double totalWeight = 0;
        boolean isVetoed = false;
        boolean isDeferred = false;
        for (final Scorer scorer : scorers) {
            final double weight = scorer.weight(context);
            final ScorerResult result = scorer.score(context, candidate);
            scores.add(new WeightedScore(candidate.worker().id(), scorer.name(), result, weight));
            switch (result) {
                case ScorerResult.Score score -> weightedSum += weight * score.value();
                case ScorerResult.Veto veto -> isVetoed = true;
                case ScorerResult.Deferred deferred -> isDeferred = true;
            }
            totalWeight += weight;
        }
        return new Rating(totalWeight == 0 ? 0 : weightedSum / totalWeight, isVetoed, isDeferred);
    }

    /** Returns the workers whose score is nearly the best one, in an order that differs between requests. */
    private static List<RatedWorker> nearBest(final PlacementContext context, final List<RatedWorker> rated) {
        final double best = rated.stream().mapToDouble(RatedWorker::score).max().orElse(0);
        return rated.stream()
                .filter(worker -> worker.score() >= best - NEAR_BEST)
                .sorted(Comparator.comparingLong(worker -> tieBreakHash(
                        context.requestId(), worker.candidate().worker().id())))
                .toList();
    }

    /**
     * Draws two of the workers and returns the one with more free slots, or the one with the higher score if these are
     * equal.
     */
    private static PlacementInput twoChoices(final List<RatedWorker> workers, final RandomGenerator random) {
        final List<RatedWorker> left = new ArrayList<>(workers);
        final RatedWorker first = left.remove(random.nextInt(left.size()));
        if (left.isEmpty()) {
            return first.candidate();
        }
        final RatedWorker second = left.get(random.nextInt(left.size()));
        final boolean isSecondBetter = second.freeRatio() > first.freeRatio()
                || second.freeRatio() == first.freeRatio() && second.score() > first.score();
        return (isSecondBetter ? second : first).candidate();
    }

    /** Returns whether no scorer vetoes or defers the candidate. */
    public boolean accepts(final PlacementContext context, final PlacementInput candidate) {
        for (final Scorer scorer : scorers) {
            if (!(scorer.score(context, candidate) instanceof ScorerResult.Score)) {
                return false;
            }
        }
        return true;
    }

    private static long tieBreakHash(final String requestId, final String workerId) {
        final long hash = Fnv1a.hash(requestId + "/" + workerId);
        return hash ^ hash >>> 31;
    }

    /** The combined result of all scorers for a worker. */
    private record Rating(double score, boolean isVetoed, boolean isDeferred) {
        boolean isAvailable() {
            return !isVetoed && !isDeferred;
        }

        boolean isOnlyDeferred() {
            return !isVetoed && isDeferred;
        }
    }

    /** A worker that can run the request now, with its weighted score. */
    private record RatedWorker(PlacementInput candidate, double score) {
        double freeRatio() {
            return 1
                    - (double) candidate.occupiedSlots()
                            / Math.max(1, candidate.worker().slots());
        }
    }
}
