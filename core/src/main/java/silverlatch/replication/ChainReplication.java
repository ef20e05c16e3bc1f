package silverlatch.replication;

import silverlatch.wire.ReplicationMessage;

/**
 * The way of entries through one member of the chain: from its predecessor, to its successor, and their commit. {@link ChainReplica} calls
 * it by each tick of a member, when entries are synced, and when a view begins.
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

    /** A view that names this replica in its chain begins: all neighbours are told at once. */
    void retryNow(final long now) {
        retriedAt = 0;
        retry(now);
        committer.commitAsTail(now);
    }

    /** Sends again what the other members may have missed, where the last time was a while ago. */
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

    /** Entries were synced here. */
    void onEntriesSynced(final long now) {
        successorLink.sendEntries();
        catchUp.finishIfReached(now);
        committer.commitAsTail(now);
    }

    /** The predecessor says how far its log went when the view began. */
    void handleCatchUpTarget(final ReplicationMessage.CatchUpTarget target, final long now) {
        if (catchUp.handleTarget(target)) {
            catchUp.finishIfReached(now);
            committer.commitAsTail(now);
        }
    }
}
