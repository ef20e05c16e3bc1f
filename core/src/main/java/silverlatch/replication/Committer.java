package silverlatch.replication;

import silverlatch.wire.ReplicationMessage;

/**
 * Commits entries: the tail commits what it has synced, the other members commit what the tail reports as committed. Called when entries
 * are synced, when commit notices arrive, and on retries.
 *
 * <p>Invariant: only an active tail of a chain with the required copies commits entries because it has synced them; at that point every
 * caught-up member has synced them.
 */
final class Committer {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;

    Committer(final ReplicaSettings settings, final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** Commits the replayed entries if this replica is the tail: all of them were synced, so all of them are committed. */
    void commitReplayed(final long now) {
        if (commitsBySync()) {
            log.commit(log.syncedSequence(), now);
        }
    }

    /** Commits the synced entries if this replica is the tail, and notifies the other members if that committed any. */
    void commitAsTail(final long now) {
        if (commitsBySync()) {
            final long before = log.committedSequence();
            log.commit(log.syncedSequence(), now);
            if (log.committedSequence() > before) {
                notifyMembers();
            }
        }
    }

    private boolean commitsBySync() {
        return role.isActiveTail() && role.hasRequiredCopies();
    }

    /** Sends the committed sequence number to all other members of the chain. */
    void notifyMembers() {
        role.view().chain().stream()
                .filter(member -> !settings.isSelf(member.id()))
                .forEach(member -> effects.send(
                        member.address(),
                        new ReplicationMessage.CommitNotice(role.view().number(), log.committedSequence())));
    }

    /** Commits the entries that the tail reports as committed, as far as they are synced here. */
    void handleCommitNotice(final ReplicationMessage.CommitNotice notice, final long now) {
        if (!role.isFenced(notice.view()) && role.isInChain()) {
            log.commit(notice.sequence(), now);
        }
    }
}
