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
 * Chooses workers by the scorers and records each choice with all of its inputs, so that the {@code replay} tool can reproduce
 * it. Used only by the dispatch event loop.
 */
final class PlacementDecider {
    private final ClusterView cluster;
    private final WorkerUsageTable usage;
    private final WeightedScorers scorers;
    private final WeightedScorers constraints;
    private final RandomGenerator random;
    private final DispatchOutput output;

    /**
     * Creates a decider.
     *
     * @param maxReportAge the maximum age of a worker's report in microseconds
     */
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

    /** Returns the candidate workers, ordered by id. */
    List<PlacementInput> candidates(final long now) {
        return usage.placementInputs(cluster, now);
    }

    /**
     * Chooses one of the candidates, and records the choice unless all are busy.
     *
     * @param timestamp the time of the choice, by the cluster's clock
     */
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

    /** Returns whether no scorer vetoes or defers a candidate. */
    boolean accepts(final PlacementContext context, final PlacementInput candidate) {
        return scorers.accepts(context, candidate);
    }

    /**
     * Returns whether a worker is still allowed at the time of dispatch. Checks only the hard constraints, which no other score
     * can outweigh, and not the worker's load.
     */
    boolean isAllowed(final PlacementContext context, final Gossip.ObservedWorker report, final long now) {
        final PlacementInput input =
                new PlacementInput(report.worker(), report.age(now), 0, 0, Long.MAX_VALUE, false, 1);
        return constraints.accepts(context, input);
    }

    /** Returns the id of the chosen worker, or an empty string if none was chosen. */
    static String chosenWorker(final WeightedScorers.Decision decision) {
        return decision instanceof WeightedScorers.Decision.Selected selected
                ? selected.candidate().worker().id()
                : "";
    }
}
