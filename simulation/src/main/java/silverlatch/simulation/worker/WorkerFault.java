package silverlatch.simulation.worker;

/** What a stand-in worker can be told to do wrong. */
public enum WorkerFault {
    /** Nothing. */
    NONE,
    /** Leaves a piece out. */
    GAP,
    /** Sends a piece twice. */
    REPEAT,
    /** Sends a piece under another ticket's id. */
    FOREIGN,
    /** Ends without a seal. */
    NOSEAL,
    /** Seals over something else. */
    WRONGSEAL,
    /** Says that it does not start. */
    DENY,
    /** Takes ten times as long. */
    SLOW,
    /** Accepts and says nothing. */
    DARK,
    /** Breaks the connection after two pieces. */
    DROP,
    /** Sends a line that is no JSON. */
    GARBAGE
}
