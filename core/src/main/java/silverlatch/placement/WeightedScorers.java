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
 * Chooses a worker by several scorers. A worker that one of them vetoes or defers isn't chosen; of the others two are drawn
 * among those whose weighted scores are nearly the best, and the one with more free slots is taken (power of two choices).
 * Immutable; the same input and random numbers give the same choice.
 */
public final class WeightedScorers {
    /** Scores within this much of the best one count as equal. */
    private static final double NEAR_BEST = 0.08;

    private final List<Scorer> scorers;

    /** A choice by the given scorers. */
    public WeightedScorers(final List<Scorer> scorers) {
        this.scorers = List.copyOf(scorers);
    }

    /** All scorers; a report of a worker counts up to the given age in microseconds. */
    public static WeightedScorers allScorers(final long maxReportAge) {
        return allScorers(maxReportAge, Safeguards.ALL);
    }

    /** The same, without the scorers whose safeguard is let down; for tests. */
    public static WeightedScorers allScorers(final long maxReportAge, final Safeguards safeguards) {
        final List<Scorer> all =
                new ArrayList<>(List.of(new PrefixCacheScorer(), new LoadScorer(), new LocalityScorer()));
        all.addAll(constraintScorers(maxReportAge, safeguards));
        if (safeguards.isEnabled(Safeguard.SLOW_START)) {
            all.add(new SlowStartScorer(safeguards.isEnabled(Safeguard.SLOW_START_END)));
        }
        return new WeightedScorers(all);
    }

    /** The scorers that hold to constraints; they are asked once more at the moment of dispatch. */
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
     * What one scorer said of one worker.
     *
     * @param worker the worker's id
     * @param scorer the scorer's name
     * @param result what it said
     * @param weight the weight that it had
     */
    public record WeightedScore(String worker, String scorer, ScorerResult result, double weight) {}

    /** What was chosen, with all scores that led to it. */
    public sealed interface Decision {
        /** What each scorer said of each worker. */
        List<WeightedScore> scores();

        /** A worker was chosen. */
        record Selected(PlacementInput candidate, List<WeightedScore> scores) implements Decision {}

        /** None was chosen; one that is allowed may have capacity later. */
        record AllBusy(List<WeightedScore> scores) implements Decision {}

        /** None was chosen, because none is allowed. */
        record NoneAllowed(List<WeightedScore> scores) implements Decision {}
    }

    /** Chooses one of the candidates for a request. */
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

    /** Asks all scorers about one candidate, and adds what they say to the scores. */
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

    /** The workers whose score is nearly the best one, in an order that differs from request to request. */
    private static List<RatedWorker> nearBest(final PlacementContext context, final List<RatedWorker> rated) {
        final double best = rated.stream().mapToDouble(RatedWorker::score).max().orElse(0);
        return rated.stream()
                .filter(worker -> worker.score() >= best - NEAR_BEST)
                .sorted(Comparator.comparingLong(worker -> tieBreakHash(
                        context.requestId(), worker.candidate().worker().id())))
                .toList();
    }

    /** Draws two of the workers and takes the one with more free slots, or the better score where these are equal. */
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

    /** Whether no scorer vetoes or defers the candidate. */
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

    /** What all scorers together say of a worker. */
    private record Rating(double score, boolean isVetoed, boolean isDeferred) {
        boolean isAvailable() {
            return !isVetoed && !isDeferred;
        }

        boolean isOnlyDeferred() {
            return !isVetoed && isDeferred;
        }
    }

    /** A worker that can take the request, with its weighted score. */
    private record RatedWorker(PlacementInput candidate, double score) {
        double freeRatio() {
            return 1
                    - (double) candidate.occupiedSlots()
                            / Math.max(1, candidate.worker().slots());
        }
    }
}
