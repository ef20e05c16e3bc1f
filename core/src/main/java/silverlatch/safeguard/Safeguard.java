package silverlatch.safeguard;

/** A rule of this project that keeps something from happening. A drill lets one down to see that its observer notices. */
public enum Safeguard {
    /** A word on a worker counts for a set age only. */
    WORD,
    /** A table that is not confirmed is not acted on. */
    SURE,
    /** A zone that is being emptied gets no work. */
    ZONE,
    /** A worker outside the tenant's homes gets no work. */
    SERVED,
    /** A gateway outside the tenant's homes takes no ticket. */
    SENT,
    /** What is kept of a tenant goes when its homes, its key or itself do. */
    KEPT,
    /** A key is bound to one ticket. */
    CLAIM,
    /** A ticket is handed over once. */
    SPENT,
    /** A permit holds for one incarnation of its carrier. */
    LIFE,
    /** A line bears its own ticket and run. */
    LINE,
    /** Pieces come without a gap and without a repeat. */
    PIECE,
    /** A seal fits what came before it. */
    SEAL,
    /** What may have begun is not tried again, nor called rejected. */
    BEGUN,
    /** A worker that warms up is spared. */
    RAMP,
    /** A worker that was spared long enough takes its full part. */
    WARM,
    /** Extra tries have a budget. */
    TRIES,
    /** The tail replies only under a lease. */
    LEASE,
    /** A lower page never replaces a higher one. */
    PAGE,
    /** A change against an older sequence is rejected. */
    MATCH,
    /** A configuration that was accepted is known when it is sent again. */
    TAKEN,
    /** A refusal rests on committed changes only. */
    SETTLED,
    /** An order for a zone takes effect on top of the newest change that its caller knew of. */
    NEWEST,
    /** A receipt is stamped above the message. */
    ABOVE,
    /** A stamp from too far ahead is not merged. */
    FAR,
    /** A chain that lost a machine is mended. */
    MEND,
    /** A dead voter is replaced, or loses its vote, before the quorum is widened. */
    DEAD_VOTES,
    /** A member that leaves ends only when enough others hold everything and the voters know that it left. */
    HANDOVER,
    /** A voter accepts a successor only when the leases it granted to those that go have run out. */
    LEASE_WAIT,
    /** Replication messages of another view are rejected. */
    FENCE,
    /** A promise or an acceptance is synced before it is sent. */
    PROMISE,
    /** A chain shorter than the required copies acknowledges nothing. */
    COPIES,
    /** A replica that was out takes over the ranges in which its digests differ before it joins. */
    DIGEST,
    /** A replica under repair takes over what its source has synced and doesn't know to be committed. */
    REPAIR_PENDING
}
