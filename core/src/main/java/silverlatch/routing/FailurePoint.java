package silverlatch.routing;

/** How far an attempt had got when it failed. Counters and log lines contain the constant names. */
public enum FailurePoint {
    /** No byte of the request left this gateway. */
    UNSENT(true),
    /** The worker replied that it did not run the request and never will. */
    NOT_RUN(true),
    /** The address now belongs to another worker, which did not run the request. */
    STRANGER(true),
    /** Bytes of the request were sent, but no response arrived. */
    SENT(false),
    /** The worker's response reports an error of the worker itself. */
    ILL(false),
    /** A part of the response was already forwarded to the client. */
    BEGUN(false);

    private final boolean isKnownNotRun;

    FailurePoint(final boolean isSurelyNotRun) {
        this.isKnownNotRun = isSurelyNotRun;
    }

    /** Returns whether the attempt is known not to have run, so that another attempt can't execute the request twice. */
    boolean isKnownNotRun() {
        return isKnownNotRun;
    }
}
