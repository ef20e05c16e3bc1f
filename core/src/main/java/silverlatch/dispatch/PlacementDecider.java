package silverlatch.dispatch;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.WeightedScorers;
import silverlatch.safeguard.Safeguards;

/**
 * Chooses workers by the scorers and reports each choice with all that it rests on, so that {@code replay} can make it
 * again. Owned by the dispatch event loop.
 */
final class PlacementDecider {
    private final ClusterView cluster;
    private final WorkerUsageTable usage;
    private final WeightedScorers scorers;
    private final WeightedScorers constraints;
    private final RandomGenerator random;
    private final DispatchOutput output;

    /** A decider for which a worker's report counts for so many microseconds. */
    PlacementDecider(
            final ClusterView cluster,
            final WorkerUsageTable usage,
            final long maxReportAge,
            final Safeguards safeguards,
            final RandomGenerator random,
            final DispatchOutput output) {
        this.cluster = cluster;
        this.usage = usage;
        this.scorers = WeightedScorers.allScorers(maxReportAge, safeguards);
        this.constraints = WeightedScorers.constraints(maxReportAge, safeguards);
        this.random = random;
        this.output = output;
    }

    /** The workers that can be chosen from, ordered by id. */
    List<PlacementInput> candidates(final long now) {
        return usage.placementInputs(cluster, now);
    }

    /** Chooses one of the candidates at a timestamp of the cluster's clock. */
    WeightedScorers.Decision decide(
            final PlacementContext context, final List<PlacementInput> candidates, final long timestamp) {
        final long seed = random.nextLong() >>> 12;
        final WeightedScorers.Decision decision = scorers.select(context, candidates, new SplittableRandom(seed));
        if (!(decision instanceof WeightedScorers.Decision.AllBusy)) {
            output.add(new DispatchEffect.PlacementDecided(
                    context, candidates, seed, cluster.snapshot().revision(), timestamp, chosenWorker(decision)));
        }
        return decision;
    }

    /** Whether no scorer is against a candidate now. */
    boolean accepts(final PlacementContext context, final PlacementInput candidate) {
        return scorers.accepts(context, candidate);
    }

    /** Whether a worker is still allowed at the moment of dispatch, by the constraints that are never traded off. */
    boolean isAllowed(final PlacementContext context, final Gossip.ObservedWorker report, final long now) {
        final PlacementInput input =
                new PlacementInput(report.worker(), report.age(now), 0, 0, Long.MAX_VALUE, false, 1);
        return constraints.accepts(context, input);
    }

    /** The id of the worker that was chosen, or an empty text. */
    static String chosenWorker(final WeightedScorers.Decision decision) {
        return decision instanceof WeightedScorers.Decision.Selected selected
                ? selected.candidate().worker().id()
                : "";
    }
}
