package silverlatch.server.tool;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out      receives results
 * @param err      receives errors
 * @param verbatim whether the JSON of replies is printed unchanged
 */
record Console(PrintStream out, PrintStream err, boolean verbatim) {
    /** Prints an error, prefixed with the program's name. */
    void error(final String message) {
        err.println("silverlatch: " + message);
    }
}
