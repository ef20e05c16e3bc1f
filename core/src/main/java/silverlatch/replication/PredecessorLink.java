package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Replicates from the previous member of the chain: accepts its entries in order, acknowledges them, and fetches missing ones. It has no
 * state of its own.
 */
final class PredecessorLink {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final CatchUpProgress catchUp;
    private final Committer committer;
    private final EffectQueue effects;

    PredecessorLink(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final ReplicaLog log,
            final CatchUpProgress catchUp,
            final Committer committer,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.catchUp = catchUp;
        this.committer = committer;
        this.effects = effects;
    }

    /** Appends the received entries that follow the log without a gap, acknowledges them, and fetches missing entries at the first gap. */
    void handleReplicate(final ReplicationMessage.Replicate message, final long now) {
        if (role.isFenced(message.view()) || !role.isInChain() || role.isHead()) {
            return;
        }
        final List<LogEntry> fresh = new ArrayList<>();
        for (final LogEntry entry : message.entries()) {
            final long expected = log.lastSequence() + fresh.size() + 1;
            if (entry.sequence() == expected) {
                fresh.add(entry);
            } else if (entry.sequence() > expected) {
                fetchMissing();
                break;
            }
        }
        acknowledge(log.lastSequence() + fresh.size());
        if (!fresh.isEmpty()) {
            // Entries are arriving; a repair at the same time would transfer the same entries again, in one frame.
            catchUp.restartTimer(now);
            log.append(fresh, now);
        } else if (role.isActiveTail()) {
            committer.notifyMembers();
        }
    }

    /** Requests the entries after the last one here from the predecessor. */
    void fetchMissing() {
        sendToPredecessor(new ReplicationMessage.FetchEntries(
                role.view().number(), settings.self().id(), log.lastSequence()));
    }

    private void acknowledge(final long sequence) {
        sendToPredecessor(new ReplicationMessage.ReplicateAck(
                role.view().number(), settings.self().id(), sequence));
    }

    private void sendToPredecessor(final Message message) {
        role.predecessor().ifPresent(predecessor -> effects.send(predecessor.address(), message));
    }
}
