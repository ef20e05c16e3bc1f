package silverlatch.server.settings;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.kohsuke.args4j.Option;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;

/** The command line flags of the gateway and controller programs. Most of them override a key of the settings file. */
public final class CommandLineFlags extends ProgramOptions {
    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file (JSON); flags override it")
    private String settings = "";

    @Option(name = "--name", metaVar = "NAME", usage = "this process's name")
    private String name = "";

    @Option(name = "--zone", metaVar = "ZONE", usage = "its zone")
    private String zone = "";

    @Option(name = "--region", metaVar = "REGION", usage = "its region")
    private String region = "";

    @Option(name = "--address", metaVar = "IP:PORT", usage = "where it listens for frames of other processes")
    private String address = "";

    @Option(name = "--door", metaVar = "IP:PORT", usage = "where it serves its HTTP API")
    private String door = "";

    @Option(name = "--seeds", metaVar = "A,B,C", usage = "one to three addresses of controllers")
    private String seeds = "";

    @Option(name = "--data", metaVar = "FOLDER", usage = "the data folder (controllers only)")
    private String data = "";

    @Option(name = "--record", metaVar = "FOLDER", usage = "record placements into a folder (gateways only)")
    private String record = "";

    @Option(name = "--gate", metaVar = "IP:PORT", usage = "where it takes requests by host and path (gateways only)")
    private String gate = "";

    @Option(name = "--check", usage = "check the settings and end")
    private boolean check;

    /** The result of parsing the command line. */
    public sealed interface ParseResult {
        /** The program runs with these settings. */
        record Run(Settings settings) implements ParseResult {}

        /** The program ends with this exit code. All messages have been printed already. */
        record Exit(int code) implements ParseResult {}
    }

    private CommandLineFlags(final String program) {
        super(program, program + " [flags]");
    }

    /**
     * Parses a program's command line, reads the settings file that it names, and prints every fault that it finds.
     *
     * @param isController true for the settings of a controller, false for those of a gateway
     */
    public static ParseResult parse(
            final String program,
            final String[] args,
            final boolean isController,
            final PrintStream out,
            final PrintStream err) {
        final CommandLineFlags flags = new CommandLineFlags(program);
        final OptionalInt exitCode = flags.parse(args, out, err);
        if (exitCode.isEmpty()) {
            return flags.readSettings(isController, out, err);
        }
        if (exitCode.getAsInt() == WRONG_USE) {
            err.println("try " + program + " --help");
        }
        return new ParseResult.Exit(exitCode.getAsInt());
    }

    private ParseResult readSettings(final boolean isController, final PrintStream out, final PrintStream err) {
        final Optional<String> file = Optional.of(settings).filter(path -> !path.isEmpty());
        return switch (Settings.read(file, overrides(), isController)) {
            case Settings.ReadResult.Invalid invalid -> {
                EventLog.write(Event.SETTINGS, invalid.faults().size() + " faults");
                invalid.faults().forEach(fault -> err.println(program() + ": " + fault));
                yield new ParseResult.Exit(WRONG_USE);
            }
            case Settings.ReadResult.Valid valid -> {
                if (check) {
                    out.println(program() + ": the settings are sound");
                    yield new ParseResult.Exit(0);
                }
                yield new ParseResult.Run(valid.settings());
            }
        };
    }

    private Map<String, Object> overrides() {
        final Map<String, Object> overrides = new HashMap<>();
        final Map<String, String> texts = Map.of(
                "name", name, "zone", zone, "region", region, "address", address, "door", door, "data", data, "record",
                record, "gate", gate);
        texts.forEach((key, value) -> {
            if (!value.isEmpty()) {
                overrides.put(key, value);
            }
        });
        if (!seeds.isEmpty()) {
            overrides.put("seeds", List.of(seeds.split(",")));
        }
        return overrides;
    }
}
