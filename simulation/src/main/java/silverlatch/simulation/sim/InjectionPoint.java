package silverlatch.simulation.sim;

/** The steps of a request and of a command at which a fault can be injected. */
public enum InjectionPoint {
    /** A gateway has placed a request; the client has not submitted it yet. */
    PLACED,
    /** A gateway is about to claim an idempotency key. */
    CLAIMING,
    /** A gateway has decided to send a request; it hasn't sent a byte to the worker yet. */
    SENDING,
    /** A gateway is about to forward a chunk. */
    STREAMING,
    /** The head has synced an entry that it has not replicated. */
    HEAD_SYNCED,
    /** The tail has synced an entry that it has not acknowledged. */
    TAIL_SYNCED
}
