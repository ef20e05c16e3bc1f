package silverlatch.routing;

/** How far a run had come when it broke. */
public enum FailurePoint {
    /** No byte of it left. */
    UNSENT,
    /** The worker said that it did not run and never will. */
    NOT_RUN,
    /** Another worker stands at the address; it did not run. */
    STRANGER,
    /** Bytes of it left, and nothing came of it. */
    SENT,
    /** The worker's reply tells of its own failure. */
    ILL,
    /** The reply had begun. */
    BEGUN
}
