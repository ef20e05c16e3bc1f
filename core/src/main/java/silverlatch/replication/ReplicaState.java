package silverlatch.replication;

/**
 * The state of a replica with respect to the chain. Legal transitions: when a view is installed, from every state but {@link
 * #DISK_FAILED} to {@link #IN_CHAIN} or {@link #OUTSIDE_CHAIN}; when a write to the log fails, from every state to {@link
 * #DISK_FAILED}. {@link #DISK_FAILED} is final: recovery creates a new replica object by replaying the log.
 */
public enum ReplicaState {
    /** No view is installed: the replica discovers its peers. */
    EMPTY("empty"),
    /** The chain of the installed view doesn't contain this replica: it is repaired and then requests to join. */
    OUTSIDE_CHAIN("outside"),
    /** The chain of the installed view contains this replica. */
    IN_CHAIN("chained"),
    /** A write to the log failed: the replica ignores all messages and timer events. */
    DISK_FAILED("broken");

    private final String label;

    ReplicaState(final String label) {
        this.label = label;
    }

    /** Returns the name shown by the status API and in log messages. */
    public String label() {
        return label;
    }

    /** Returns the state after a view was installed whose chain contains this replica or not. */
    ReplicaState afterView(final boolean inChain) {
        if (this == DISK_FAILED) {
            return this;
        }
        return inChain ? IN_CHAIN : OUTSIDE_CHAIN;
    }

    /** Returns the state after a write to the log failed. */
    ReplicaState afterDiskFailure() {
        return DISK_FAILED;
    }
}
