package silverlatch.simulation.explore;

/** The properties that must hold in every state of a {@link World}. */
public enum Property {
    /** All replicas that have a view of one number have the same view. */
    ONE_VIEW,
    /** At any time at most one replica holds the singleton role under a lease. */
    ONE_OWNER,
    /** Replicas that have applied the same sequence number have the same configuration and evacuations. */
    ONE_HISTORY,
    /** No two documents are acknowledged under one configuration number. */
    ONE_DOCUMENT,
    /** Every acknowledged write is synced on as many disks as copies are required, less the disks lost and not repaired. */
    DURABLE,
    /** A write that was rejected never takes effect, and one that took effect is never rejected. */
    REFUSED_ORDER,
    /** A read returns no older value than any write that was acknowledged before the read began. */
    FRESH_READ,
    /**
     * No replica responds under an older view after a change was committed and acknowledged under a newer one. The exception
     * is the response to a write that is sent as its change is applied, if the change is applied in the newer view too: it was
     * decided before the newer view.
     */
    VIEW_FENCED,
    /** No command on the zone takes effect after one that was sent when its caller had left, and that was acknowledged. */
    LATE_COMMAND,
    /** The history of operations is linearizable. */
    LINEARIZABLE,
    /** After all faults have ended, a write is acknowledged within the time limit of {@link Recovery}. */
    RECOVERS,
    /** No replica throws an exception. */
    NO_EXCEPTION
}
