package silverlatch.server.settings;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;

/** The flags of gateway and controller. */
public final class CommandLineFlags {
    /** The product's version. */
    public static final String VERSION = "0.1.0";

    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file (JSON); flags go before it")
    private String settings = "";

    @Option(name = "--name", metaVar = "NAME", usage = "this process's name")
    private String name = "";

    @Option(name = "--zone", metaVar = "ZONE", usage = "its zone")
    private String zone = "";

    @Option(name = "--region", metaVar = "REGION", usage = "its region")
    private String region = "";

    @Option(name = "--address", metaVar = "IP:PORT", usage = "where it takes frames of other processes")
    private String address = "";

    @Option(name = "--door", metaVar = "IP:PORT", usage = "where it takes HTTP")
    private String door = "";

    @Option(name = "--seeds", metaVar = "A,B,C", usage = "one to three addresses of controllers")
    private String seeds = "";

    @Option(name = "--data", metaVar = "FOLDER", usage = "the data folder (controllers only)")
    private String data = "";

    @Option(name = "--record", metaVar = "FOLDER", usage = "record the day's placements into a folder (gateways only)")
    private String record = "";

    @Option(name = "--gate", metaVar = "IP:PORT", usage = "where it takes tickets by host and path (gateways only)")
    private String gate = "";

    @Option(name = "--check", usage = "check the settings and end")
    private boolean check;

    @Option(name = "--help", help = true, usage = "show this text and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "show the version and end")
    private boolean version;

    /** What the command line came to. */
    public sealed interface Parsed {
        /** Run with these settings. */
        record Run(Settings settings) implements Parsed {}

        /** End with this code; all is said. */
        record Exit(int code) implements Parsed {}
    }

    /** Reads a command line and the settings it names. */
    public static Parsed parse(
            final String program,
            final String[] args,
            final boolean isController,
            final PrintStream out,
            final PrintStream err) {
        final CommandLineFlags flags = new CommandLineFlags();
        final CmdLineParser parser =
                new CmdLineParser(flags, ParserProperties.defaults().withUsageWidth(100));
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            err.println(program + ": " + e.getMessage());
            err.println("try " + program + " --help");
            return new Parsed.Exit(2);
        }
        if (flags.help) {
            out.println(program + " [flags]");
            parser.printUsage(out);
            return new Parsed.Exit(0);
        }
        if (flags.version) {
            out.println(program + " " + VERSION);
            return new Parsed.Exit(0);
        }
        return switch (Settings.read(
                Optional.of(flags.settings).filter(s -> !s.isEmpty()), flags.overrides(), isController)) {
            case Settings.ReadResult.Invalid bad -> {
                EventLog.write(Event.SETTINGS, bad.faults().size() + " faults");
                bad.faults().forEach(f -> err.println(program + ": " + f));
                yield new Parsed.Exit(2);
            }
            case Settings.ReadResult.Valid good -> {
                if (flags.check) {
                    out.println(program + ": the settings are sound");
                    yield new Parsed.Exit(0);
                }
                yield new Parsed.Run(good.settings());
            }
        };
    }

    private Map<String, Object> overrides() {
        final Map<String, Object> overrides = new HashMap<>();
        final Map<String, String> texts = Map.of(
                "name", name, "zone", zone, "region", region, "address", address, "door", door, "data", data, "record",
                record, "gate", gate);
        texts.forEach((k, v) -> {
            if (!v.isEmpty()) {
                overrides.put(k, v);
            }
        });
        if (!seeds.isEmpty()) {
            overrides.put("seeds", List.of(seeds.split(",")));
        }
        return overrides;
    }
}
