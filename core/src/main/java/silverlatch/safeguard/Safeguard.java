package silverlatch.safeguard;

/**
 * A check that the product always makes, and that the simulation can disable to see that its observer notices what it
 * prevents. The constants are named on the command line of the simulation ({@code bin/days --down CONFIRMED_REVISION}), which
 * accepts the former name of a renamed one for one version.
 */
public enum Safeguard {
    /** A report on a worker counts for a bounded age only. */
    REPORT_AGE,
    /** A configuration that is not confirmed is not acted on. */
    CONFIRMED_REVISION,
    /** A zone under evacuation gets no new requests. */
    EVACUATION,
    /** A worker outside the tenant's home regions gets no requests of it. */
    WORKER_HOME_REGION,
    /** A gateway outside the tenant's home regions takes no requests of it. */
    GATEWAY_HOME_REGION,
    /** What is kept of a tenant is dropped with its home regions, its key or itself. */
    RETENTION_HOME_REGION,
    /** An idempotency key is bound to one request. */
    CLAIM,
    /** A request is handed over once. */
    PERMIT_ONCE,
    /** A permit is valid for one incarnation of its carrier. */
    PERMIT_INCARNATION,
    /** A line of a response stream bears its own request and attempt. */
    STREAM_IDENTITY,
    /** Chunks of a stream come without a gap and without a repetition. */
    STREAM_ORDER,
    /** The checksum of a chunk covers what came before it. */
    TRAILER_DIGEST,
    /** What may have begun is neither retried nor called rejected. */
    NO_RETRY_AFTER_START,
    /** A worker that warms up gets less than its share (slow start). */
    SLOW_START,
    /** A worker whose slow start is over gets its full share. */
    SLOW_START_END,
    /** Retries have a budget. */
    RETRY_BUDGET,
    /** The tail answers reads only under a lease. */
    LEASE,
    /** A lower revision never replaces a higher one. */
    MONOTONIC_REVISION,
    /** A command against an older sequence is rejected. */
    COMPARE_AND_SET,
    /** A configuration that was accepted is recognized when it is sent again. */
    ACCEPTED_REMEMBERED,
    /** A rejection rests on committed entries only. */
    COMMITTED_REFUSAL,
    /** A command on a zone is applied on top of the newest entry that its caller knew of. */
    LATEST_EVACUATION,
    /** A received message is stamped above its own stamp. */
    STAMP_ABOVE,
    /** A stamp from too far ahead is not merged. */
    STAMP_BOUND,
    /** A chain that lost a replica is repaired. */
    CHAIN_REPAIR,
    /** A dead voter is replaced, or loses its vote, before the quorum is widened. */
    DEAD_VOTES,
    /** A replica that leaves stops only when enough others hold everything and the voters know that it left. */
    HANDOVER,
    /** A voter accepts a successor view only when the leases it granted to the replicas that go have expired. */
    LEASE_WAIT,
    /** Replication messages of another view are rejected. */
    FENCE,
    /** A promise or an acceptance is synced before it is sent. */
    PROMISE,
    /** A chain shorter than the required number of replicas acknowledges nothing. */
    COPIES,
    /** A replica that was out takes over the ranges in which its digests differ before it joins. */
    REPAIR_DIGEST,
    /** A replica under repair takes over what its source has synced and doesn't know to be committed. */
    REPAIR_PENDING,
    /** A member tells its successor how far its log goes only when its view is on disk. */
    VIEW_SYNC,
    /** A worker's drain is acknowledged only once a majority of the controllers holds it. */
    REPORT_QUORUM,
    /** A gateway routes by a configuration that nobody has confirmed for a bounded time after its start only. */
    STARTUP_GRACE,
    /** A gateway accepts keys for a bounded time after its configuration was confirmed as the newest. */
    REVOCATION_LEASE,
    /** A replica that holds everything takes over where all members of a chain that acknowledges nothing are lost. */
    TAKEOVER
}
