package silverlatch.server.replay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import silverlatch.server.settings.ProgramOptions;

/**
 * The program {@code replay}: repeats the recorded placement decisions of a gateway, with the recorded rows of the table or with those of
 * a given table, and prints which decisions change and why. Exit codes: 0 done, 2 invalid command line or a fault in a file.
 */
public final class Main extends ProgramOptions {
    @Option(
            name = "--table",
            metaVar = "FILE",
            usage = "the table to decide by (as 'silverlatch --json table get' gives it); without it the recorded rows")
    private String table = "";

    @Option(name = "--most", metaVar = "N", usage = "how many changed placements to show")
    private int maxShown = 10;

    @Option(name = "--word", metaVar = "MICROSECONDS", usage = "the setting word at the time of the recording")
    private long maxReportAge = 2_000_000;

    @Argument(metaVar = "RECORDING")
    private List<String> files = new ArrayList<>();

    private Main() {
        super("replay", "replay [flags] RECORDING ...");
    }

    /** Replays the recordings that the command line names, and exits. */
    public static void main(final String[] args) {
        System.exit(new Main().run(args, System.out, System.err));
    }

    private int run(final String[] args, final PrintStream out, final PrintStream err) {
        final OptionalInt exitCode = parse(args, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        if (files.isEmpty()) {
            err.println("replay: a recording is needed; try replay --help");
            return WRONG_USE;
        }
        final List<String> faults = new ArrayList<>();
        final Optional<TableFile> tableFile =
                Optional.of(table).filter(path -> !path.isEmpty()).map(path -> TableFile.read(Path.of(path), faults));
        final RecordingReader.ReadResult readResult =
                RecordingReader.read(files.stream().map(Path::of).toList());
        switch (readResult) {
            case RecordingReader.ReadResult.Invalid invalid -> faults.addAll(invalid.faults());
            case RecordingReader.ReadResult.Valid valid -> {
                if (faults.isEmpty()) {
                    new PlacementReplay(tableFile, maxShown, maxReportAge, out).run(valid.recording());
                }
            }
        }
        faults.forEach(fault -> err.println(program() + ": " + fault));
        return faults.isEmpty() ? 0 : WRONG_USE;
    }
}
