package silverlatch.server.replay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.server.settings.ProgramOptions;
import silverlatch.state.Value;

/** The tool replay: judges a recorded day again, under its own table or another one, and shows which picks change and why. */
public final class Main extends ProgramOptions {
    @Option(
            name = "--table",
            metaVar = "FILE",
            usage = "the table to judge by (as 'silverlatch --json table get' gives it); without it the day's own")
    private String table = "";

    @Option(name = "--most", metaVar = "N", usage = "how many changed picks to show")
    private int most = 10;

    @Option(name = "--word", metaVar = "MICROSECONDS", usage = "the setting word of the day")
    private long word = 2_000_000;

    @Argument(metaVar = "RECORDING")
    private List<String> files = new ArrayList<>();

    private Main() {
        super("replay", "replay [flags] RECORDING ...");
    }

    /** Runs the tool: 0 done, 2 wrong use or a fault in a file. */
    public static void main(final String[] args) {
        System.exit(new Main().run(args, System.out, System.err));
    }

    private int run(final String[] args, final PrintStream out, final PrintStream err) {
        final OptionalInt ended = parse(args, out, err);
        if (ended.isPresent()) {
            return ended.getAsInt();
        }
        if (files.isEmpty()) {
            err.println("replay: a recording is needed; try replay --help");
            return 2;
        }
        final List<String> faults = new ArrayList<>();
        final Optional<Map<String, Value.Row>> rows =
                table.isEmpty() ? Optional.empty() : Optional.of(RecordingFormat.readTable(Path.of(table), faults));
        final RecordingFormat.ReadResult read =
                RecordingFormat.read(files.stream().map(Path::of).toList());
        if (read instanceof RecordingFormat.ReadResult.Invalid bad) {
            faults.addAll(bad.faults());
        }
        if (!faults.isEmpty()) {
            faults.forEach(f -> err.println("replay: " + f));
            return 2;
        }
        replay(((RecordingFormat.ReadResult.Valid) read).recording(), rows, out);
        return 0;
    }

    private void replay(
            final RecordingFormat.Recording recording,
            final Optional<Map<String, Value.Row>> rows,
            final PrintStream out) {
        final WeightedScorers scorers = WeightedScorers.allScorers(word);
        final Map<String, Integer> counts = new TreeMap<>();
        int sameCount = 0;
        int shownCount = 0;
        for (final DispatchEffect.PlacementDecided placement : recording.placements()) {
            final PlacementContext recorded = placement.context();
            final Optional<Value.Row> row = rows.map(r -> Optional.ofNullable(r.get(recorded.tenant()
                                            .name() + "/" + recorded.row().kind()))
                            .or(() -> Optional.ofNullable(
                                    r.get("*/" + recorded.row().kind()))))
                    .orElse(Optional.of(recorded.row()));
            if (row.isEmpty()) {
                counts.merge("kind " + recorded.row().kind() + " is not in the table", 1, Integer::sum);
                continue;
            }
            final PlacementContext request = new PlacementContext(
                    recorded.requestId(),
                    recorded.tenant(),
                    row.get(),
                    recorded.prefixDigests(),
                    recorded.gatewayZone(),
                    recorded.gatewayRegion(),
                    recorded.evacuatingZones());
            final WeightedScorers.Decision decision =
                    scorers.select(request, placement.candidates(), new SplittableRandom(placement.seed()));
            final String chosen = decision instanceof WeightedScorers.Decision.Selected p
                    ? p.candidate().worker().id()
                    : "";
            if (chosen.equals(placement.worker())) {
                sameCount++;
                continue;
            }
            counts.merge(recorded.row().kind() + " changed", 1, Integer::sum);
            if (shownCount++ < most) {
                show(
                        placement,
                        decision,
                        chosen,
                        recording.endStates().getOrDefault(recorded.requestId(), "open"),
                        out);
            }
        }
        out.println(recording.placements().size() + " picks, " + sameCount + " the same, "
                + (recording.placements().size() - sameCount) + " changed");
        counts.forEach((k, v) -> out.println("  " + k + ": " + v));
    }

    private static void show(
            final DispatchEffect.PlacementDecided placement,
            final WeightedScorers.Decision decision,
            final String chosen,
            final String endState,
            final PrintStream out) {
        out.println("ticket " + placement.context().requestId() + " "
                + placement.context().tenant().name() + " "
                + placement.context().row().kind() + ": " + name(placement.worker()) + " -> " + name(chosen) + " (page "
                + placement.revision()
                + ", stamp " + placement.timestamp() + ", it ended " + endState + ")");
        final Map<String, String> reasons = new LinkedHashMap<>();
        decision.scores().stream()
                .filter(o -> o.worker().equals(chosen) || o.worker().equals(placement.worker()))
                .forEach(o -> reasons.merge(
                        o.scorer(),
                        o.worker() + " "
                                + switch (o.result()) {
                                    case ScorerResult.Score s -> String.format("%.2f x %s", s.value(), o.weight());
                                    case ScorerResult.Veto v -> "veto: " + v.reason();
                                    case ScorerResult.Deferred l -> "later: " + l.reason();
                                },
                        (a, b) -> a + ", " + b));
        reasons.forEach((k, v) -> out.println("    " + k + ": " + v));
    }

    private static String name(final String worker) {
        return worker.isEmpty() ? "none" : worker;
    }
}
