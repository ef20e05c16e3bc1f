package silverlatch.simulation.sim;

/** What the observer holds a day against: one mark for each harm, so that one check can't stand in for another. */
public enum Invariant {
    /** A ticket or a key runs twice. */
    AT_MOST_ONCE,
    /** A ticket that was told to be rejected ran or runs. */
    REJECTED_NEVER_RUNS,
    /** A consumer gets a piece or a seal of another ticket. */
    OWN_RESPONSE,
    /** A reply looks whole and is cut short, or its seal does not fit. */
    COMPLETE_RESPONSE,
    /** A stream skips a piece or repeats one. */
    CONTIGUOUS_STREAM,
    /** A stream joins two runs. */
    SINGLE_RUN_STREAM,
    /** A worker outside the tenant's homes serves. */
    WORKER_IN_HOME_REGION,
    /** A gateway outside the tenant's homes picks or carries. */
    GATEWAY_IN_HOME_REGION,
    /** A gateway outside the tenant's homes keeps a reply and tells it. */
    RETAINED_IN_HOME_REGION,
    /** A worker gets a run more than 3 s after it said that it leaves. */
    DRAINING_WORKER,
    /** An acknowledged table is ignored for more than 3 s. */
    TABLE_IN_FORCE,
    /** A gateway goes by an older table again after a quarter of a second. */
    MONOTONIC_TABLE,
    /** A refused or losing change takes effect. */
    REJECTED_CHANGE,
    /** The table read back is older than the last one acknowledged. */
    LINEARIZABLE_READ,
    /** A zone gets work more than 5 s after it was asked to be emptied. */
    EVACUATED_ZONE,
    /** More than a fifth of the traffic of any ten seconds is extra tries. */
    RETRY_BUDGET,
    /** A cold worker is flooded. */
    SLOW_START,
    /** Service is below a quarter of normal more than 12 s after something came back. */
    RECOVERY_TIME,
    /** After all is healed the fleet does not serve, or the table can't be read or changed. */
    SERVES_AFTER_FAULTS,
    /** The day put nothing to the test. */
    EXERCISED,
    /** A daemon's stamp is not above those of what it heard and said before. */
    STAMP_ORDER,
    /** A daemon whose own clock is right is dragged ahead by another's. */
    CLOCK_NOT_DRAGGED
}
