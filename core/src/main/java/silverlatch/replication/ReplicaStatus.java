package silverlatch.replication;

/**
 * How a replica stands at one moment, for the status API, readiness and tests.
 *
 * @param state          what part it takes
 * @param isCaughtUp     whether it holds all that its chain holds
 * @param view           the installed view
 * @param sequence       the newest committed sequence
 * @param revision       the newest committed sequence that changed what gateways follow
 * @param pendingEntries how many entries of its log aren't known to be committed
 * @param isLeased       whether a majority of the voters vouches for its view
 */
public record ReplicaStatus(
        ReplicaState state,
        boolean isCaughtUp,
        View view,
        long sequence,
        long revision,
        int pendingEntries,
        boolean isLeased) {}
