package silverlatch.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import silverlatch.wire.ReplicationMessage;

/**
 * Replicates to the next member of the chain: sends it the entries that it lacks and that are synced here, as far as the {@link
 * ReplicationWindow} admits them. Called when entries are synced or acknowledged, and on retries.
 */
final class SuccessorLink {
    private static final int MAX_BATCH_ENTRIES = 512;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    private final ReplicationWindow window = new ReplicationWindow();

    SuccessorLink(final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** Assumes that the successor has all entries up to a sequence number, after a view was installed or a repair was completed. */
    void reset(final long sequence, final long now) {
        window.reset(sequence, now);
    }

    /** Sends the entries that the successor lacks. */
    void sendEntries() {
        final Optional<Replica> successor = role.successor();
        if (successor.isEmpty() || window.sentSequence() >= log.syncedSequence()) {
            return;
        }
        final List<LogEntry> batch = nextBatch();
        if (!batch.isEmpty()) {
            effects.send(
                    successor.get().address(),
                    new ReplicationMessage.Replicate(role.view().number(), batch));
        }
    }

    private List<LogEntry> nextBatch() {
        final List<LogEntry> batch = new ArrayList<>();
        final Iterator<LogEntry> entries =
                log.entriesSince(window.sentSequence()).iterator();
        while (entries.hasNext()) {
            final LogEntry entry = entries.next();
            if (entry.sequence() <= window.sentSequence()) {
                continue;
            }
            final boolean isNext =
                    entry.sequence() == window.sentSequence() + 1 && entry.sequence() <= log.syncedSequence();
            if (!isNext || batch.size() >= MAX_BATCH_ENTRIES || !window.admits(entry)) {
                return batch;
            }
            window.add(entry);
            batch.add(entry);
        }
        return batch;
    }

    /** Sends the successor the catch-up target, and resends the entries that it hasn't acknowledged within the backoff. */
    void retry(final long now) {
        role.successor().ifPresent(successor -> {
            if (role.isCaughtUp()) {
                sendCatchUpTarget(successor.address());
            }
            if (log.hasSyncedPending() && window.isRetryDue(now)) {
                window.restart(log.committedSequence(), now);
            }
            sendEntries();
        });
    }

    /**
     * Sends the last sequence number of the log as the catch-up target, if the installed view is synced to disk. A member that sent its
     * target before that could fall back to the previous view on a restart and accept more entries under it, which the successor would
     * lack.
     */
    private void sendCatchUpTarget(final String address) {
        if (!role.isViewSynced()) {
            return;
        }
        effects.send(address, new ReplicationMessage.CatchUpTarget(role.view().number(), log.lastSequence()));
    }

    /** Handles the successor's acknowledgement of received entries, and sends further ones. */
    void handleReplicateAck(final ReplicationMessage.ReplicateAck acknowledgement, final long now) {
        final boolean isFromSuccessor = role.successor()
                .map(successor -> successor.id().equals(acknowledgement.id()))
                .orElse(false);
        if (acknowledgement.view() == role.view().number() && role.isInChain() && isFromSuccessor) {
            window.acknowledge(acknowledgement.sequence(), now);
            sendEntries();
        }
    }

    /** Handles the successor's request for the entries after the last one that it has. */
    void handleFetchEntries(final ReplicationMessage.FetchEntries request, final String sender, final long now) {
        if (request.view() != role.view().number() || !role.isActive()) {
            return;
        }
        sendCatchUpTarget(sender);
        if (request.sequence() < window.acknowledgedSequence() || request.sequence() > window.sentSequence()) {
            window.restart(request.sequence(), now);
        } else {
            window.acknowledge(request.sequence(), now);
        }
        sendEntries();
    }
}
