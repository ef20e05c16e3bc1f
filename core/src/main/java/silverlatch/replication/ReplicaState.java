package silverlatch.replication;

/**
 * What part a replica takes. Legal transitions: an installed view leads from every state but {@link #DISK_FAILED} to {@link
 * #IN_CHAIN} or {@link #OUTSIDE_CHAIN}; a failed write leads from every state to {@link #DISK_FAILED}, which only a new replica, read
 * from the log again, leaves.
 */
public enum ReplicaState {
    /** No view is known: the replica discovers its peers. */
    EMPTY("empty"),
    /** The view is known and its chain doesn't name this replica: it is repaired and asks to join. */
    OUTSIDE_CHAIN("outside"),
    /** The replica is a member of the chain. */
    IN_CHAIN("chained"),
    /** The log can't be written: the replica takes no part. */
    DISK_FAILED("broken");

    private final String label;

    ReplicaState(final String label) {
        this.label = label;
    }

    /** The name that the status API and log lines show. */
    public String label() {
        return label;
    }

    /** The state after a view was installed. */
    ReplicaState afterView(final boolean inChain) {
        if (this == DISK_FAILED) {
            return this;
        }
        return inChain ? IN_CHAIN : OUTSIDE_CHAIN;
    }

    /** The state after a write to the log failed. */
    ReplicaState afterDiskFailure() {
        return DISK_FAILED;
    }
}
