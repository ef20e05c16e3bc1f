package silverlatch.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.state.StateMachine;

/**
 * Rewrites the log as a snapshot of the committed state, the installed view and the acceptor's state for the next view, followed by the
 * pending entries, once enough entries were committed since the last snapshot. Used by {@link ReplicaLog}.
 */
final class SnapshotWriter {
    private static final long INTERVAL_BYTES = 8L << 20;
    private static final int INTERVAL_ENTRIES = 10_000;
    private final ReplicaRole role;
    private final ViewAcceptor acceptor;
    private final EffectQueue effects;
    private long bytesSinceLast;
    private int entriesSinceLast;

    SnapshotWriter(final ReplicaRole role, final ViewAcceptor acceptor, final EffectQueue effects) {
        this.role = role;
        this.acceptor = acceptor;
        this.effects = effects;
    }

    /** Counts a committed entry towards the next snapshot. */
    void countCommitted(final LogEntry entry) {
        bytesSinceLast += entry.estimatedBytes();
        entriesSinceLast++;
    }

    /** Returns whether the log has grown enough for another snapshot. */
    boolean isDue() {
        return bytesSinceLast > INTERVAL_BYTES || entriesSinceLast > INTERVAL_ENTRIES;
    }

    /** Writes a snapshot; once it is synced, logs the event and then calls {@code onSynced}. */
    void write(
            final StateMachine stateMachine,
            final Collection<LogEntry> pendingEntries,
            final long highestStamp,
            final long now,
            final LongConsumer onSynced) {
        bytesSinceLast = 0;
        entriesSinceLast = 0;
        final long sequence = stateMachine.sequence();
        final List<LogRecord> records = new ArrayList<>();
        records.add(new LogRecord.Snapshot(
                sequence,
                role.view(),
                role.isCaughtUp(),
                acceptor.promisedBallot(),
                acceptor.acceptedBallot(),
                acceptor.acceptedView().stream().toList(),
                highestStamp,
                stateMachine.allEntries()));
        pendingEntries.forEach(entry -> records.add(new LogRecord.Appended(entry)));
        effects.persist(records, now, syncedAt -> {
            effects.log(Event.PICTURE, "sequence " + sequence);
            onSynced.accept(syncedAt);
        });
    }
}
