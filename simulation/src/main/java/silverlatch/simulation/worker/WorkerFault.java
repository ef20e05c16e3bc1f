package silverlatch.simulation.worker;

/** The faults that a simulated worker can be set to. */
public enum WorkerFault {
    /** No fault. */
    NONE,
    /** Skips a chunk. */
    GAP,
    /** Sends a chunk twice. */
    REPEAT,
    /** Sends a chunk with another request's id. */
    FOREIGN,
    /** Ends the response without a trailer. */
    NOSEAL,
    /** Sends a trailer whose digest doesn't cover the last chunk. */
    WRONGSEAL,
    /** Rejects runs without starting them. */
    DENY,
    /** Takes ten times as long for each chunk. */
    SLOW,
    /** Accepts runs and sends nothing. */
    DARK,
    /** Ends the stream after two chunks, without a trailer. */
    DROP,
    /** Sends a line that isn't JSON. */
    GARBAGE
}
