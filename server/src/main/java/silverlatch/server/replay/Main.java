package silverlatch.server.replay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.server.settings.Flags;
import silverlatch.state.Value;

/** The tool replay: judges a recorded day again, under its own table or another one, and shows which picks change and why. */
public final class Main {
    @Option(
            name = "--table",
            metaVar = "FILE",
            usage = "the table to judge by (as 'silverlatch --json table get' gives it); without it the day's own")
    private String table = "";

    @Option(name = "--most", metaVar = "N", usage = "how many changed picks to show")
    private int most = 10;

    @Option(name = "--word", metaVar = "MICROSECONDS", usage = "the setting word of the day")
    private long word = 2_000_000;

    @Option(name = "--help", help = true, usage = "show this text and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "show the version and end")
    private boolean version;

    @Argument(metaVar = "RECORDING")
    private List<String> files = new ArrayList<>();

    private Main() {}

    /** Runs the tool: 0 done, 2 wrong use or a fault in a file. */
    public static void main(final String[] args) {
        System.exit(new Main().run(args, System.out, System.err));
    }

    private int run(final String[] args, final PrintStream out, final PrintStream err) {
        final CmdLineParser parser =
                new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(100));
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            err.println("replay: " + e.getMessage());
            return 2;
        }
        if (help || version) {
            out.println(version ? "replay " + Flags.VERSION : "replay [flags] RECORDING ...");
            if (help) {
                parser.printUsage(out);
            }
            return 0;
        }
        if (files.isEmpty()) {
            err.println("replay: a recording is needed; try replay --help");
            return 2;
        }
        final List<String> faults = new ArrayList<>();
        final Optional<Map<String, Value.Row>> rows =
                table.isEmpty() ? Optional.empty() : Optional.of(Pages.table(Path.of(table), faults));
        final Pages.Read read = Pages.read(files.stream().map(Path::of).toList());
        if (read instanceof Pages.Read.Bad bad) {
            faults.addAll(bad.faults());
        }
        if (!faults.isEmpty()) {
            faults.forEach(f -> err.println("replay: " + f));
            return 2;
        }
        replay(((Pages.Read.Good) read).day(), rows, out);
        return 0;
    }

    private void replay(final Pages.Day day, final Optional<Map<String, Value.Row>> rows, final PrintStream out) {
        final WeightedScorers court = WeightedScorers.allScorers(word);
        final Map<String, Integer> tally = new TreeMap<>();
        int same = 0;
        int shown = 0;
        for (final DispatchEffect.PlacementDecided j : day.judged()) {
            final PlacementContext old = j.context();
            final Optional<Value.Row> row = rows.map(r -> Optional.ofNullable(
                                    r.get(old.tenant().name() + "/" + old.row().kind()))
                            .or(() -> Optional.ofNullable(r.get("*/" + old.row().kind()))))
                    .orElse(Optional.of(old.row()));
            if (row.isEmpty()) {
                tally.merge("kind " + old.row().kind() + " is not in the table", 1, Integer::sum);
                continue;
            }
            final PlacementContext plea = new PlacementContext(
                    old.requestId(),
                    old.tenant(),
                    row.get(),
                    old.prefixDigests(),
                    old.gatewayZone(),
                    old.gatewayRegion(),
                    old.evacuatingZones());
            final WeightedScorers.Decision ruling = court.select(plea, j.candidates(), new SplittableRandom(j.seed()));
            final String now = ruling instanceof WeightedScorers.Decision.Selected p
                    ? p.candidate().worker().id()
                    : "";
            if (now.equals(j.worker())) {
                same++;
                continue;
            }
            tally.merge(old.row().kind() + " changed", 1, Integer::sum);
            if (shown++ < most) {
                show(j, ruling, now, day.ends().getOrDefault(old.requestId(), "open"), out);
            }
        }
        out.println(day.judged().size() + " picks, " + same + " the same, "
                + (day.judged().size() - same) + " changed");
        tally.forEach((k, v) -> out.println("  " + k + ": " + v));
    }

    private static void show(
            final DispatchEffect.PlacementDecided j,
            final WeightedScorers.Decision ruling,
            final String now,
            final String end,
            final PrintStream out) {
        out.println("ticket " + j.context().requestId() + " "
                + j.context().tenant().name() + " "
                + j.context().row().kind() + ": " + name(j.worker()) + " -> " + name(now) + " (page " + j.revision()
                + ", stamp " + j.timestamp() + ", it ended " + end + ")");
        final Map<String, String> why = new LinkedHashMap<>();
        ruling.scores().stream()
                .filter(o -> o.worker().equals(now) || o.worker().equals(j.worker()))
                .forEach(o -> why.merge(
                        o.scorer(),
                        o.worker() + " "
                                + switch (o.result()) {
                                    case ScorerResult.Score s -> String.format("%.2f x %s", s.value(), o.weight());
                                    case ScorerResult.Veto v -> "veto: " + v.reason();
                                    case ScorerResult.Deferred l -> "later: " + l.reason();
                                },
                        (a, b) -> a + ", " + b));
        why.forEach((k, v) -> out.println("    " + k + ": " + v));
    }

    private static String name(final String worker) {
        return worker.isEmpty() ? "none" : worker;
    }
}
