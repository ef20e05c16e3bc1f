package silverlatch.server.tool;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out      results
 * @param err      what went wrong
 * @param verbatim whether replies are printed as they came
 */
record Console(PrintStream out, PrintStream err, boolean verbatim) {
    /** Prints an error of the program. */
    void error(final String message) {
        err.println("silverlatch: " + message);
    }
}
