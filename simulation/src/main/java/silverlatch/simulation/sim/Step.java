package silverlatch.simulation.sim;

/** The steps of a ticket and of a change at which a fault can be aimed. */
public enum Step {
    /** A gateway made a pick; its ticket is not handed over yet. */
    PICKED,
    /** A gateway is about to claim a key. */
    CLAIMS,
    /** A gateway had its last look; no byte went to the worker yet. */
    ASKS,
    /** A gateway passes a piece on. */
    PIECE,
    /** The head synced a change that it has not passed on. */
    HEAD,
    /** The tail synced a change that it has not acknowledged. */
    TAIL
}
