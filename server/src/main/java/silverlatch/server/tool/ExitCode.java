package silverlatch.server.tool;

/** The exit codes of the operators' command line tool. */
enum ExitCode {
    /** The request was carried out. */
    DONE(0),
    /** The server rejected the request. */
    REJECTED(1),
    /** The command line or a file named on it is wrong; nothing was sent. */
    WRONG_USE(2),
    /** No endpoint could be reached; nothing took effect. */
    NOT_REACHED(3),
    /** The request may or may not take effect. */
    OUTCOME_UNKNOWN(4);

    private final int value;

    ExitCode(final int value) {
        this.value = value;
    }

    /** Returns the number with which the process exits. */
    int value() {
        return value;
    }
}
