package silverlatch.simulation.explore;

/** What must hold at every state of a {@link World}. */
public enum Property {
    /** One view stands under one number. */
    ONE_VIEW,
    /** At no moment do two replicas own the singleton role under a lease. */
    ONE_OWNER,
    /** Replicas that have applied the same sequence hold the same configuration and evacuations. */
    ONE_HISTORY,
    /** No two documents are acknowledged under one configuration number. */
    ONE_DOCUMENT,
    /** What is acknowledged is on as many synced disks as there must be copies, less the disks lost since. */
    DURABLE,
    /** An order that was refused never takes effect, and one that took effect is never refused. */
    REFUSED_ORDER,
    /** A read is no older than any acknowledgement that ended before the read began. */
    FRESH_READ,
    /**
     * No replica answers under an older view after a newer one committed and acknowledged a change. A write may still be told
     * its outcome as the change that decided it is applied, if that is applied in the newer view too: it was decided before.
     */
    VIEW_FENCED,
    /** The history of operations is linearizable. */
    LINEARIZABLE,
    /** When all faults are over, a write is acknowledged within the bound of {@link Recovery}. */
    RECOVERS,
    /** No replica throws. */
    NO_EXCEPTION
}
