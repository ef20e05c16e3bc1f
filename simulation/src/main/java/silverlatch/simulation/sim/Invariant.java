package silverlatch.simulation.sim;

/** What must hold on every day, as the observer sees it: one constant for each harm, so that one check can't stand in for another. */
public enum Invariant {
    /** A request, or two requests of one idempotency key, run twice. */
    AT_MOST_ONCE,
    /** A request whose client was told that it is rejected ran or runs. */
    REJECTED_NEVER_RUNS,
    /** A client gets a chunk or a trailer of another request. */
    OWN_RESPONSE,
    /** A response looks complete and is cut short, or its trailer does not fit. */
    COMPLETE_RESPONSE,
    /** A stream skips a chunk or repeats one. */
    CONTIGUOUS_STREAM,
    /** A stream joins two attempts. */
    SINGLE_RUN_STREAM,
    /** A worker outside the tenant's home regions serves. */
    WORKER_IN_HOME_REGION,
    /** A gateway outside the tenant's home regions places or forwards a request. */
    GATEWAY_IN_HOME_REGION,
    /** A gateway outside the tenant's home regions keeps a response and hands it out. */
    RETAINED_IN_HOME_REGION,
    /** A worker gets a request more than 3 s after it said that it drains. */
    DRAINING_WORKER,
    /** An acknowledged table is ignored for more than 3 s. */
    TABLE_IN_FORCE,
    /** A gateway follows an older table again after a quarter of a second. */
    MONOTONIC_TABLE,
    /** A refused or losing change takes effect. */
    REJECTED_CHANGE,
    /** The table read back is older than the last one acknowledged. */
    LINEARIZABLE_READ,
    /** A zone gets requests more than 5 s after it was to be drained. */
    EVACUATED_ZONE,
    /** More than a fifth of the attempts of any ten seconds are retries. */
    RETRY_BUDGET,
    /** A worker in slow start gets more than its share. */
    SLOW_START,
    /** Service is below a quarter of normal more than 12 s after something came back. */
    RECOVERY_TIME,
    /** After all is healed the fleet does not serve, or the table can't be read or changed. */
    SERVES_AFTER_FAULTS,
    /** The day put nothing to the test. */
    EXERCISED,
    /** A node's stamp is not above those of the frames that it received and sent before. */
    STAMP_ORDER,
    /** A node whose own clock is right is drawn ahead by another's. */
    CLOCK_NOT_DRAGGED
}
