package silverlatch.safeguard;

/**
 * A check that the product always makes, and that the simulation can disable to see that its observer notices what it
 * prevents. Operators name the constants on the command line ({@code bin/days --down SURE}), so they stay as they are.
 */
public enum Safeguard {
    /** A report on a worker counts for a bounded age only. */
    WORD,
    /** A configuration that is not confirmed is not acted on. */
    SURE,
    /** A zone under evacuation gets no new requests. */
    ZONE,
    /** A worker outside the tenant's home regions gets no requests of it. */
    SERVED,
    /** A gateway outside the tenant's home regions takes no requests of it. */
    SENT,
    /** What is kept of a tenant is dropped with its home regions, its key or itself. */
    KEPT,
    /** An idempotency key is bound to one request. */
    CLAIM,
    /** A request is handed over once. */
    SPENT,
    /** A permit is valid for one incarnation of its carrier. */
    LIFE,
    /** A line of a response stream bears its own request and attempt. */
    LINE,
    /** Chunks of a stream come without a gap and without a repetition. */
    PIECE,
    /** The checksum of a chunk covers what came before it. */
    SEAL,
    /** What may have begun is neither retried nor called rejected. */
    BEGUN,
    /** A worker that warms up gets less than its share (slow start). */
    RAMP,
    /** A worker whose slow start is over gets its full share. */
    WARM,
    /** Retries have a budget. */
    TRIES,
    /** The tail answers reads only under a lease. */
    LEASE,
    /** A lower revision never replaces a higher one. */
    PAGE,
    /** A command against an older sequence is rejected. */
    MATCH,
    /** A configuration that was accepted is recognized when it is sent again. */
    TAKEN,
    /** A rejection rests on committed entries only. */
    SETTLED,
    /** A command on a zone is applied on top of the newest entry that its caller knew of. */
    NEWEST,
    /** A received message is stamped above its own stamp. */
    ABOVE,
    /** A stamp from too far ahead is not merged. */
    FAR,
    /** A chain that lost a replica is repaired. */
    MEND,
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
    DIGEST,
    /** A replica under repair takes over what its source has synced and doesn't know to be committed. */
    REPAIR_PENDING
}
