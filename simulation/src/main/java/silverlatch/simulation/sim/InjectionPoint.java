package silverlatch.simulation.sim;

/** The steps of a ticket and of a change at which a fault can be aimed. */
public enum InjectionPoint {
    /** A gateway made a pick; its ticket is not handed over yet. */
    PLACED,
    /** A gateway is about to claim a key. */
    CLAIMING,
    /** A gateway had its last look; no byte went to the worker yet. */
    SENDING,
    /** A gateway passes a piece on. */
    STREAMING,
    /** The head synced a change that it has not passed on. */
    HEAD_SYNCED,
    /** The tail synced a change that it has not acknowledged. */
    TAIL_SYNCED
}
