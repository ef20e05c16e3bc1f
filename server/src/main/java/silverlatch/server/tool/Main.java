package silverlatch.server.tool;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.function.UnaryOperator;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import silverlatch.server.settings.ProgramOptions;

/** The operators' command line tool: parses its command line and runs one command. Exit codes: {@link ExitCode}. */
public final class Main extends ProgramOptions {
    private static final String KEY_VARIABLE = "SILVERLATCH_KEY";
    private static final String USAGE = """
            silverlatch [flags] COMMAND
              table get                              show the table
              table put FILE                         replace the table (JSON with rows)
              table diff FILE                        show the cells that FILE would change; changes nothing
              table set TENANT KIND FIELD VALUE      change one cell (TENANT * is the row for all)
              tenant list                            show the tenants
              tenant put NAME KEY SHARE [HOME ...]   make or change a tenant
              tenant delete NAME                     remove a tenant
              configuration get                      show the routing configuration in force, as it was put
              configuration put FILE [MATCH]         put a routing configuration, where MATCH is the number it builds on
              configuration routes                   show the routes in force
              evacuate ZONE                          evacuate a zone
              restore ZONE                           end its evacuation
              zones                                  show the evacuations
              schedule list                          show the schedules
              schedule put NAME FILE                 make or change one (JSON with cron, and cells or zone and empty)
              schedule delete NAME                   remove one
              change ID                              show the outcome of a change by its id
              claims [STATE]                         list claimed idempotency keys by state (running if none is given)
              status                                 show what the process at --door knows
              explain TICKET                         show why a request was placed where it was (ask the gateway that has it)
            former names, accepted in this version: charter get|put|rules, calendar list|put|drop, tenant drop, drain, undrain
            exit codes: 0 done, 1 rejected, 2 wrong use, 3 not reached, 4 not known whether it takes effect""";

    @Option(
            name = "--door",
            metaVar = "IP:PORT[,...]",
            usage = "HTTP addresses, tried one after another (or SILVERLATCH_DOOR)")
    private String endpoints =
            Optional.ofNullable(System.getenv("SILVERLATCH_DOOR")).orElse("127.0.0.1:8001");

    @Option(name = "--key", metaVar = "KEY", usage = "the operator's key (or SILVERLATCH_KEY)")
    private String operatorKey = "";

    @Option(name = "--match", metaVar = "SEQUENCE", usage = "change it only if it still is at this sequence")
    private String expectedRevision = "*";

    @Option(name = "--change", metaVar = "ID", usage = "the change's id, to ask for its outcome later")
    private String commandId = UUID.randomUUID().toString();

    @Option(name = "--json", usage = "print the reply as it came")
    private boolean verbatim;

    @Argument(metaVar = "COMMAND")
    private List<String> words = new ArrayList<>();

    private final UnaryOperator<String> environment;

    /**
     * Creates the tool.
     *
     * @param environment returns the value of an environment variable by its name, or null if it isn't set
     */
    Main(final UnaryOperator<String> environment) {
        super("silverlatch", USAGE);
        this.environment = environment;
    }

    /** Runs one command and exits. */
    public static void main(final String[] args) {
        System.exit(new Main(System::getenv).run(args, System.out, System.err));
    }

    /** Runs one command and returns the exit code. */
    int run(final String[] args, final PrintStream out, final PrintStream err) {
        final OptionalInt exitCode = parse(args, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        final Console console = new Console(out, err, verbatim);
        try {
            final Optional<ToolCommand> command = CommandParser.parse(words);
            if (command.isEmpty()) {
                err.println(USAGE);
                return ExitCode.WRONG_USE.value();
            }
            return run(command.get(), console).value();
        } catch (final IOException failure) {
            console.error("the file can't be read: " + failure.getMessage());
            return ExitCode.WRONG_USE.value();
        }
    }

    /**
     * Returns the operator's key from the flag or the environment. The environment's value isn't the default of the option, since the
     * help prints the defaults and would expose the key.
     */
    private String key() {
        return operatorKey.isEmpty()
                ? Optional.ofNullable(environment.apply(KEY_VARIABLE)).orElse("")
                : operatorKey;
    }

    private ExitCode run(final ToolCommand command, final Console console) {
        final ApiClient.Options options =
                new ApiClient.Options(List.of(endpoints.split(",")), key(), commandId, expectedRevision);
        try (ApiClient client = new ApiClient(options, console.err())) {
            return command.run(client, console);
        }
    }
}
