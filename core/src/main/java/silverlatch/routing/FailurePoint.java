package silverlatch.routing;

/** How far an attempt had come when it broke. The names go into counters and log lines. */
public enum FailurePoint {
    /** No byte of the request left this gateway. */
    UNSENT(true),
    /** The worker said that it did not run the request and never will. */
    NOT_RUN(true),
    /** Another worker is at the address; it did not run the request. */
    STRANGER(true),
    /** Bytes of the request left, and no response came. */
    SENT(false),
    /** The worker's response tells of a failure of its own. */
    ILL(false),
    /** A part of the response was passed on. */
    BEGUN(false);

    private final boolean isKnownNotRun;

    FailurePoint(final boolean isSurelyNotRun) {
        this.isKnownNotRun = isSurelyNotRun;
    }

    /** Whether the attempt surely did not run, so that another one can't be a second run. */
    boolean isKnownNotRun() {
        return isKnownNotRun;
    }
}
