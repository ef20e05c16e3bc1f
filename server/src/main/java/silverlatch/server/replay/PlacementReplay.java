package silverlatch.server.replay;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.state.Value;

/** Repeats recorded placement decisions and prints which of them change, and why. Used for a single run. */
final class PlacementReplay {
    private final Optional<TableFile> table;
    private final int maxShown;
    private final WeightedScorers scorers;
    private final PrintStream out;
    private final Map<String, Integer> differenceCounts = new TreeMap<>();
    private int unchangedCount;
    private int shownCount;

    /**
     * Creates a replay.
     *
     * @param table        the rows to use for the decisions; if empty, the recorded rows are used
     * @param maxShown     the maximum number of changed placements to print
     * @param maxReportAge the age in microseconds beyond which a worker's report is ignored
     */
    PlacementReplay(
            final Optional<TableFile> table, final int maxShown, final long maxReportAge, final PrintStream out) {
        this.table = table;
        this.maxShown = maxShown;
        this.scorers = WeightedScorers.allScorers(maxReportAge);
        this.out = out;
    }

    /** Repeats all decisions, and prints the changed ones (at most {@code maxShown}) and the counts. */
    void run(final Recording recording) {
        for (final DispatchEffect.PlacementDecided placement : recording.placements()) {
            replay(
                    placement,
                    recording.endStates().getOrDefault(placement.context().requestId(), "open"));
        }
        final int total = recording.placements().size();
        out.println(total + " picks, " + unchangedCount + " the same, " + (total - unchangedCount) + " changed");
        differenceCounts.forEach((difference, count) -> out.println("  " + difference + ": " + count));
    }

    private void replay(final DispatchEffect.PlacementDecided placement, final String endState) {
        final PlacementContext recorded = placement.context();
        final String kind = recorded.row().kind();
        final Optional<Value.Row> row =
                table.map(file -> file.row(recorded.tenant().name(), kind)).orElse(Optional.of(recorded.row()));
        if (row.isEmpty()) {
            differenceCounts.merge("kind " + kind + " is not in the table", 1, Integer::sum);
            return;
        }
        final WeightedScorers.Decision decision = scorers.select(
                withRow(recorded, row.get()), placement.candidates(), new SplittableRandom(placement.seed()));
        final String chosen = decision instanceof WeightedScorers.Decision.Selected selected
                ? selected.candidate().worker().id()
                : "";
        if (chosen.equals(placement.worker())) {
            unchangedCount++;
            return;
        }
        differenceCounts.merge(kind + " changed", 1, Integer::sum);
        if (shownCount++ < maxShown) {
            printChange(placement, decision, chosen, endState);
        }
    }

    private static PlacementContext withRow(final PlacementContext context, final Value.Row row) {
        return new PlacementContext(
                context.requestId(),
                context.tenant(),
                row,
                context.prefixDigests(),
                context.gatewayZone(),
                context.gatewayRegion(),
                context.evacuatingZones());
    }

    private void printChange(
            final DispatchEffect.PlacementDecided placement,
            final WeightedScorers.Decision decision,
            final String chosen,
            final String endState) {
        final PlacementContext context = placement.context();
        out.println("ticket " + context.requestId() + " " + context.tenant().name() + " "
                + context.row().kind() + ": " + nameOrNone(placement.worker()) + " -> " + nameOrNone(chosen) + " (page "
                + placement.revision() + ", stamp " + placement.timestamp() + ", it ended " + endState + ")");
        final Map<String, String> lines = new LinkedHashMap<>();
        decision.scores().stream()
                .filter(score -> score.worker().equals(chosen) || score.worker().equals(placement.worker()))
                .forEach(score -> lines.merge(score.scorer(), describe(score), (first, next) -> first + ", " + next));
        lines.forEach((scorer, line) -> out.println("    " + scorer + ": " + line));
    }

    private static String describe(final WeightedScorers.WeightedScore weighted) {
        return weighted.worker() + " "
                + switch (weighted.result()) {
                    case ScorerResult.Score score -> String.format("%.2f x %s", score.value(), weighted.weight());
                    case ScorerResult.Veto veto -> "veto: " + veto.reason();
                    case ScorerResult.Deferred deferred -> "later: " + deferred.reason();
                };
    }

    private static String nameOrNone(final String worker) {
        return worker.isEmpty() ? "none" : worker;
    }
}
