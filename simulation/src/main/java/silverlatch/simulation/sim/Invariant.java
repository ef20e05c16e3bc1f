package silverlatch.simulation.sim;

/**
 * The invariants that must hold on every simulated day, as the observer sees it. Each constant names one kind of violation, so
 * that a check of one can't hide that another was never exercised. The comments describe the violations.
 */
public enum Invariant {
    /** A request, or two requests of one idempotency key, run twice. */
    AT_MOST_ONCE,
    /** A request runs, or has run, although its client was told that it is rejected. */
    REJECTED_NEVER_RUNS,
    /** A client receives a chunk or a trailer of another request, or the success of a request that never ran. */
    OWN_RESPONSE,
    /** A response looks complete but is truncated, or its trailer doesn't match its chunks. */
    COMPLETE_RESPONSE,
    /** A stream skips a chunk or repeats one. */
    CONTIGUOUS_STREAM,
    /** A stream contains chunks of two attempts. */
    SINGLE_RUN_STREAM,
    /** A worker outside the tenant's home regions runs a request. */
    WORKER_IN_HOME_REGION,
    /** A gateway outside the tenant's home regions places or forwards a request. */
    GATEWAY_IN_HOME_REGION,
    /** A gateway outside the tenant's home regions retains a response and returns it to a later read. */
    RETAINED_IN_HOME_REGION,
    /** A worker starts a request more than 3 s after it announced that it drains. */
    DRAINING_WORKER,
    /** A gateway uses an older table more than 3 s after a newer one was acknowledged. */
    TABLE_IN_FORCE,
    /** A gateway uses an older table again more than 250 ms after it used a newer one. */
    MONOTONIC_TABLE,
    /** A change that was rejected, or that lost against a concurrent one, takes effect. */
    REJECTED_CHANGE,
    /** A read returns a table that is older than the last one acknowledged before the read. */
    LINEARIZABLE_READ,
    /** A worker of a zone starts a request more than 5 s after the drain of the zone was acknowledged. */
    EVACUATED_ZONE,
    /** More than a fifth of the attempts within any ten seconds are retries or repeat an idempotency key. */
    RETRY_BUDGET,
    /** A worker in slow start gets more requests than its warm-up share of slots allows. */
    SLOW_START,
    /** In a window that begins 12 s after a recovery, fewer than a quarter of the usual number of requests are completed. */
    RECOVERY_TIME,
    /** After all faults are healed, the cluster doesn't serve requests, or the table can't be read or changed. */
    SERVES_AFTER_FAULTS,
    /** The day had too few requests to exercise anything. */
    EXERCISED,
    /** A node sends a frame whose stamp isn't higher than those of the frames that it received and sent before. */
    STAMP_ORDER,
    /** The stamps of a node whose own clock is right run ahead of true time because of another node's wrong clock. */
    CLOCK_NOT_DRAGGED
}
