package silverlatch.replication;

import silverlatch.wire.ReplicationMessage;

/**
 * Commits entries: at the tail what is synced there, elsewhere what the tail says. Called when entries are synced, by commit notices and
 * by retries.
 *
 * <p>Invariant: only an active tail of a chain with the required copies commits by its own sync, as then every member that has caught up
 * has synced the entry.
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

    /** The log has been read: a tail had all of it synced, so all of it is committed. */
    void commitReplayed(final long now) {
        if (commitsBySync()) {
            log.commit(log.syncedSequence(), now);
        }
    }

    /** Commits what is synced at the tail, and tells the other members where that is more than before. */
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

    /** Tells all other members up to where entries are committed. */
    void notifyMembers() {
        role.view().chain().stream()
                .filter(member -> !settings.isSelf(member.id()))
                .forEach(member -> effects.send(
                        member.address(),
                        new ReplicationMessage.CommitNotice(role.view().number(), log.committedSequence())));
    }

    /** The tail has committed entries up to a sequence. */
    void handleCommitNotice(final ReplicationMessage.CommitNotice notice, final long now) {
        if (!role.isFenced(notice.view()) && role.isInChain()) {
            log.commit(notice.sequence(), now);
        }
    }
}
