package silverlatch.replication;

import silverlatch.wire.ReplicationMessage;

/**
 * Replicates entries through one member of the chain: receives them from the predecessor, sends them to the successor, and commits them.
 * {@link ChainReplica} calls it on each tick while the replica is a member, when entries are synced, and when a view is installed.
 */
final class ChainReplication {
    private final ReplicaRole role;
    private final SuccessorLink successorLink;
    private final PredecessorLink predecessorLink;
    private final CatchUpProgress catchUp;
    private final Committer committer;
    private final RepairRequester repairRequester;
    private long retriedAt;

    ChainReplication(
            final ReplicaRole role,
            final SuccessorLink successorLink,
            final PredecessorLink predecessorLink,
            final CatchUpProgress catchUp,
            final Committer committer,
            final RepairRequester repairRequester) {
        this.role = role;
        this.successorLink = successorLink;
        this.predecessorLink = predecessorLink;
        this.catchUp = catchUp;
        this.committer = committer;
        this.repairRequester = repairRequester;
    }

    /** Contacts the other members without waiting for the retry interval, when a view with this replica in its chain is installed. */
    void retryNow(final long now) {
        retriedAt = 0;
        retry(now);
        committer.commitAsTail(now);
    }

    /** Resends what the other members may have missed, if the retry interval has passed. */
    void retry(final long now) {
        if (now - retriedAt < ReplicaSettings.RETRY_MICROS) {
            return;
        }
        retriedAt = now;
        successorLink.retry(now);
        if (!role.isCaughtUp()) {
            role.predecessor().ifPresent(predecessor -> catchUpFrom(predecessor, now));
        }
        if (role.isActiveTail()) {
            committer.commitAsTail(now);
            committer.notifyMembers();
        }
    }

    private void catchUpFrom(final Replica predecessor, final long now) {
        if (catchUp.needsRepair(now)) {
            repairRequester.request(predecessor.address(), now);
        } else {
            predecessorLink.fetchMissing();
        }
    }

    /** Handles the local sync of entries: sends them to the successor, and commits them if this replica is the tail. */
    void onEntriesSynced(final long now) {
        successorLink.sendEntries();
        catchUp.finishIfReached(now);
        committer.commitAsTail(now);
    }

    /** Handles the predecessor's message with the last sequence number of its log, up to which this replica must catch up. */
    void handleCatchUpTarget(final ReplicationMessage.CatchUpTarget target, final long now) {
        if (catchUp.handleTarget(target)) {
            catchUp.finishIfReached(now);
            committer.commitAsTail(now);
        }
    }
}
