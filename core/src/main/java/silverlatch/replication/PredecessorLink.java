package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Replication from the member of the chain before this one: takes its entries in order, acknowledges them, and fetches those that are
 * missing. It holds no state of its own.
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

    /** Appends the entries that follow the log, acknowledges them, and fetches what is missing before the others. */
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
            // The log catches up; a repair beside it would bring the same entries again, in one frame.
            catchUp.restartTimer(now);
            log.append(fresh, now);
        } else if (role.isActiveTail()) {
            committer.notifyMembers();
        }
    }

    /** Asks the predecessor for the entries after the last one here. */
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
