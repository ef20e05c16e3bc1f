package silverlatch.server.settings;

import java.io.PrintStream;
import java.util.OptionalInt;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * The command line of a program: a subclass declares its own options in annotated fields, and this class parses them and
 * serves {@code --help} and {@code --version}, which all programs have.
 */
public abstract class ProgramOptions {
    /** The product's version. */
    public static final String VERSION = "0.1.0";

    /** The exit code of a program whose command line or files are wrong. */
    protected static final int WRONG_USE = 2;

    private static final int USAGE_COLUMNS = 100;

    private final String program;
    private final String usage;

    @Option(name = "--help", help = true, usage = "show this text and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "show the version and end")
    private boolean version;

    /** Options of a program by its name, and the text that {@code --help} shows above the options. */
    protected ProgramOptions(final String program, final String usage) {
        this.program = program;
        this.usage = usage;
    }

    /** The program's name, as it stands before each line that it prints about an error. */
    protected final String program() {
        return program;
    }

    /** Sets the annotated fields; gives the exit code where the program is to end at once, as all is said. */
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
