package silverlatch.safeguard;

/**
 * A check that the product always makes. The simulation can disable it to verify that its observer detects the
 * violations that the check prevents. The command line of the simulation takes the names of the constants
 * ({@code bin/days --down CONFIRMED_REVISION}), and the former name of a renamed constant for one version.
 */
public enum Safeguard {
    /** A worker's report is used only until it has reached a maximum age. */
    REPORT_AGE,
    /** A gateway acts only on a configuration that was recently confirmed to be the newest. */
    CONFIRMED_REVISION,
    /** A zone under evacuation gets no new requests. */
    EVACUATION,
    /** A worker outside a tenant's home regions gets no requests of the tenant. */
    WORKER_HOME_REGION,
    /** A gateway outside a tenant's home regions accepts no requests of the tenant. */
    GATEWAY_HOME_REGION,
    /**
     * Requests and responses held for a tenant are dropped when its home regions no longer allow them, its key changes,
     * or it is deleted.
     */
    RETENTION_HOME_REGION,
    /** An idempotency key is bound to one request. */
    CLAIM,
    /** A permit can be used to submit its request only once. */
    PERMIT_ONCE,
    /** A permit is valid only until it expires, and only for the incarnation of its gateway that issued it. */
    PERMIT_INCARNATION,
    /** Each record of a response stream must have the ids of the request and attempt that it belongs to. */
    STREAM_IDENTITY,
    /** The chunks of a stream must arrive without gaps and repetitions. */
    STREAM_ORDER,
    /** The checksum of a stream's trailer must match the chunks received before it. */
    TRAILER_DIGEST,
    /** A request whose execution may have begun is neither retried nor reported as rejected. */
    NO_RETRY_AFTER_START,
    /** A worker that is warming up gets less than its full share of requests (slow start). */
    SLOW_START,
    /** A worker whose slow start is over gets its full share of requests. */
    SLOW_START_END,
    /** Retries are limited by a retry budget. */
    RETRY_BUDGET,
    /** The tail of the chain answers reads only while it holds a lease. */
    LEASE,
    /** A lower revision never replaces a higher one. */
    MONOTONIC_REVISION,
    /** A command that expects an outdated revision is rejected. */
    COMPARE_AND_SET,
    /** A configuration that was accepted is recognized when it is sent again, also after others have replaced it. */
    ACCEPTED_REMEMBERED,
    /** A rejection is sent only if it depends on committed entries alone. */
    COMMITTED_REFUSAL,
    /** A command on a zone takes effect only on top of the newest entry of the zone that its caller knew. */
    LATEST_EVACUATION,
    /**
     * A command whose caller gave no revision is put on the newest one only after its caller has been connected for as long as a
     * close may take that follows the command.
     */
    CALLER_PRESENCE,
    /** A command that may have waited while its process was paused counts as received when the pause began. */
    PAUSE,
    /** The receive event of a message gets a higher stamp than the message. */
    STAMP_ABOVE,
    /** A stamp that is too far ahead of the physical clock is not merged into the process clock. */
    STAMP_BOUND,
    /** A chain that lost a replica is repaired. */
    CHAIN_REPAIR,
    /** A dead voter is replaced, or loses its vote, before voters are added. */
    DEAD_VOTES,
    /**
     * A replica that leaves stops only when enough other replicas hold all acknowledged entries and a majority of
     * voters know that it left.
     */
    HANDOVER,
    /**
     * A voter accepts a successor view only when the leases that it granted to the replicas removed by that view have
     * expired.
     */
    LEASE_WAIT,
    /** Replication messages of another view are rejected. */
    FENCE,
    /** A promise or an acceptance is synced to disk before it is sent. */
    PROMISE,
    /** A chain with fewer than the required number of replicas acknowledges no writes. */
    COPIES,
    /** A replica that was outside the chain copies the ranges in which its digests differ before it joins. */
    REPAIR_DIGEST,
    /** A replica under repair also copies the entries that its source has synced but doesn't know to be committed. */
    REPAIR_PENDING,
    /** A member reports the end of its log to its successor only after its view is synced to disk. */
    VIEW_SYNC,
    /** A worker's drain is acknowledged only once a majority of the controllers have stored it. */
    REPORT_QUORUM,
    /** A controller counts as holding a report that a worker drains or is gone only once the report is on its disk. */
    REPORT_SYNC,
    /** A gateway that has started routes by an unconfirmed configuration only for a limited time. */
    STARTUP_GRACE,
    /** A gateway accepts keys only for a limited time after its configuration was last confirmed to be the newest. */
    REVOCATION_LEASE,
    /**
     * A replica that holds all acknowledged entries takes over if all members of a chain that acknowledges nothing are
     * lost.
     */
    TAKEOVER
}
