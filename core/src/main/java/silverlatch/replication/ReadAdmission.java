package silverlatch.replication;

import java.util.List;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Entry;
import silverlatch.wire.ChainClientMessage;

/**
 * Answers reads from the committed state of the tail. It has no state of its own.
 *
 * <p>Invariant: a read is answered only by an active tail that holds a lease. If the chain is too short to commit, it is answered only
 * while no synced entry is pending, as such an entry may have been acknowledged before a restart. In all other cases the reply is that
 * this replica can't answer.
 */
final class ReadAdmission {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final HeldLease lease;
    private final ReplicaLog log;
    private final EffectQueue effects;

    ReadAdmission(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final HeldLease lease,
            final ReplicaLog log,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.lease = lease;
        this.log = log;
        this.effects = effects;
    }

    /** Replies with the entries whose keys start with the prefix, or that this replica can't answer. */
    void handleReadRequest(final ChainClientMessage.ReadRequest request, final long now) {
        final boolean answers = mayAnswer(now);
        final List<Entry> entries = answers
                ? List.copyOf(log.stateMachine()
                        .entriesWithPrefix(request.keyPrefix())
                        .values())
                : List.of();
        effects.send(
                request.replyTo(),
                new ChainClientMessage.ReadReply(request.requestId(), answers, log.committedSequence(), entries));
    }

    private boolean mayAnswer(final long now) {
        final boolean mayLackAcknowledged = !role.hasRequiredCopies() && log.hasSyncedPending();
        final boolean isLeased = lease.isHeld(now) || !settings.safeguards().isEnabled(Safeguard.LEASE);
        return role.isActiveTail() && !mayLackAcknowledged && isLeased;
    }
}
