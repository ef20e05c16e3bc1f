package silverlatch.server.settings;

import java.io.PrintStream;
import java.util.OptionalInt;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * Parses the command line of a program. A subclass declares its own options in annotated fields. This class adds the options
 * {@code --help} and {@code --version}, which all programs have.
 */
public abstract class ProgramOptions {
    /** The version that {@code --version} prints. */
    public static final String VERSION = "0.1.0";

    /** The exit code for an invalid command line or a fault in a file that it names. */
    protected static final int WRONG_USE = 2;

    private static final int USAGE_COLUMNS = 100;

    private final String program;
    private final String usage;

    @Option(name = "--help", help = true, usage = "show this text and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "show the version and end")
    private boolean version;

    /**
     * Creates the options of a program.
     *
     * @param program the program's name
     * @param usage   the text that {@code --help} prints above the options
     */
    protected ProgramOptions(final String program, final String usage) {
        this.program = program;
        this.usage = usage;
    }

    /** Returns the program's name, which prefixes each error line that it prints. */
    protected final String program() {
        return program;
    }

    /**
     * Sets the annotated fields from the command line. Prints the help, the version or the error where there is one.
     *
     * @return the exit code if the program should end now, else empty
     */
    protected final OptionalInt parse(final String[] args, final PrintStream out, final PrintStream err) {
        final CmdLineParser parser =
                new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(USAGE_COLUMNS));
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException failure) {
            err.println(program + ": " + failure.getMessage());
            return OptionalInt.of(WRONG_USE);
        }
        if (help) {
            out.println(usage);
            parser.printUsage(out);
            return OptionalInt.of(0);
        }
        if (version) {
            out.println(program + " " + VERSION);
            return OptionalInt.of(0);
        }
        return OptionalInt.empty();
    }
}
