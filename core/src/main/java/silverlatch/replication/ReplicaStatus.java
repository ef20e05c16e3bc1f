package silverlatch.replication;

/**
 * The status of a replica at one moment, for the status API, the readiness check and tests.
 *
 * @param state          whether it is in the chain
 * @param isCaughtUp     whether it holds every acknowledged entry, and all that its chain held when the view was installed
 * @param view           the installed view
 * @param sequence       the newest committed sequence number
 * @param revision       the sequence number of the newest committed entry that changed the configuration which gateways apply
 * @param pendingEntries the number of log entries not known to be committed
 * @param isLeased       whether it holds a lease, which is granted by a majority of the voters
 */
public record ReplicaStatus(
        ReplicaState state,
        boolean isCaughtUp,
        View view,
        long sequence,
        long revision,
        int pendingEntries,
        boolean isLeased) {}
