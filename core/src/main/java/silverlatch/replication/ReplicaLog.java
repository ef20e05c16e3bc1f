package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/**
 * The replicated log of one replica: the committed state, the pending entries that follow it, and the sequence number up to which the log
 * is synced to the local disk.
 *
 * <p>Invariants: committed sequence &lt;= synced sequence &lt;= last sequence, except that the synced sequence is 0 while the snapshot of a
 * repair is not synced yet; sequence numbers have no gaps; only committed entries are applied to the state machine. Pending entries are
 * dropped when the replica leaves the chain or is repaired. This starts a new generation, and syncs of writes of an earlier generation are
 * ignored.
 */
final class ReplicaLog {
    /** The number of key ranges into which the state is divided for digests. */
    static final int DIGEST_RANGES = 64;

    private static final long MAX_RECENT_BYTES = 8L << 20;
    private static final int MAX_RECENT_ENTRIES = 10_000;
    private final SnapshotWriter snapshots;
    private final EffectQueue effects;
    private final StateMachine stateMachine;
    /** Called after entries of the current generation were synced, with the time of the sync in microseconds. */
    private final LongConsumer onEntriesSynced;
    /** Called with the sequence number of each committed entry. */
    private final LongConsumer onCommitted;

    private final Deque<LogEntry> pendingEntries = new ArrayDeque<>();
    /** The newest pending state entry of each key. */
    private final Map<String, Entry> pendingValues = new HashMap<>();
    /** The most recently committed entries, kept to be sent to a successor that lacks them. */
    private final Deque<LogEntry> recentEntries = new ArrayDeque<>();

    private long recentBytes;
    private long lastSequence;
    private long syncedSequence;
    private long highestStamp;
    private long generation;

    ReplicaLog(
            final SnapshotWriter snapshots,
            final EffectQueue effects,
            final StateMachine stateMachine,
            final LongConsumer onEntriesSynced,
            final LongConsumer onCommitted) {
        this.snapshots = snapshots;
        this.effects = effects;
        this.stateMachine = stateMachine;
        this.onEntriesSynced = onEntriesSynced;
        this.onCommitted = onCommitted;
    }

    /** Returns the state machine, which holds the committed state. */
    StateMachine stateMachine() {
        return stateMachine;
    }

    /** Returns the newest committed sequence number. */
    long committedSequence() {
        return stateMachine.sequence();
    }

    /** Returns the sequence number up to which the log is synced to the local disk. */
    long syncedSequence() {
        return syncedSequence;
    }

    /** Returns the sequence number of the last entry, pending or committed. */
    long lastSequence() {
        return lastSequence;
    }

    /** Returns the highest timestamp of any entry that was ever in this log, as the bits of its {@code Stamp}. */
    long highestStamp() {
        return highestStamp;
    }

    /** Returns the newest pending state entries by key; they override the entries of the state machine. */
    Map<String, Entry> pendingValues() {
        return pendingValues;
    }

    /** Returns the pending entries in order. */
    List<LogEntry> pendingEntries() {
        return List.copyOf(pendingEntries);
    }

    /** Returns the number of pending entries. */
    int pendingCount() {
        return pendingEntries.size();
    }

    /** Returns the pending entries that are synced to the local disk, in order. */
    List<LogEntry> syncedPendingEntries() {
        return pendingEntries.stream()
                .filter(entry -> entry.sequence() <= syncedSequence)
                .toList();
    }

    /** Returns whether any entry is synced to the local disk but not known to be committed. */
    boolean hasSyncedPending() {
        return !pendingEntries.isEmpty() && pendingEntries.peek().sequence() <= syncedSequence;
    }

    /** Returns whether a pending entry changes policy, that is configuration which the data plane applies. */
    boolean hasPendingPolicy() {
        return pendingEntries.stream().anyMatch(ReplicaLog::changesPolicy);
    }

    private static boolean changesPolicy(final LogEntry entry) {
        return entry.puts().stream().anyMatch(Entry::isPolicy);
    }

    /**
     * Returns retained entries in order, including all that follow this sequence number and are retained; entries up to it may come first.
     * There is a gap after the sequence number if the committed entries that followed it are no longer retained.
     */
    Stream<LogEntry> entriesSince(final long sequence) {
        final Stream<LogEntry> committed = sequence < committedSequence() ? recentEntries.stream() : Stream.empty();
        return Stream.concat(committed, pendingEntries.stream());
    }

    /** Appends entries that directly follow the last one, and writes them to the disk. */
    void append(final List<LogEntry> entries, final long now) {
        entries.forEach(this::addPending);
        final long lastAppended = lastSequence;
        final long startedGeneration = generation;
        final List<LogRecord> records = entries.stream()
                .map(entry -> (LogRecord) new LogRecord.Appended(entry))
                .toList();
        effects.persist(records, now, syncedAt -> {
            if (startedGeneration == generation) {
                syncedSequence = Math.max(syncedSequence, lastAppended);
                onEntriesSynced.accept(syncedAt);
            }
        });
    }

    private void addPending(final LogEntry entry) {
        lastSequence = entry.sequence();
        highestStamp = Math.max(highestStamp, entry.stamp().bits());
        pendingEntries.add(entry);
        entry.puts().forEach(put -> pendingValues.put(put.key(), put));
    }

    /** Commits the pending entries up to a sequence number, as far as they are synced locally; writes a snapshot if one is due. */
    void commit(final long limit, final long now) {
        final long committable = Math.min(limit, syncedSequence);
        while (!pendingEntries.isEmpty() && pendingEntries.peek().sequence() <= committable) {
            commitFirst();
        }
        if (snapshots.isDue()) {
            snapshots.write(stateMachine, pendingEntries, highestStamp, now, syncedAt -> {});
        }
    }

    private void commitFirst() {
        final LogEntry entry = pendingEntries.poll();
        stateMachine.apply(entry.sequence(), entry.puts());
        entry.puts().forEach(put -> pendingValues.remove(put.key(), put));
        retainRecent(entry);
        snapshots.countCommitted(entry);
        if (changesPolicy(entry)) {
            effects.log(
                    Event.CHANGED,
                    "sequence " + entry.sequence() + " view " + entry.view() + " stamp "
                            + entry.stamp().bits() + evacuations(entry));
        }
        onCommitted.accept(entry.sequence());
    }

    /** Returns which zones a committed entry evacuates or restores, as text for the log. */
    private static String evacuations(final LogEntry entry) {
        return entry.puts().stream()
                .flatMap(put -> put.value().stream())
                .filter(Value.Evacuation.class::isInstance)
                .map(Value.Evacuation.class::cast)
                .map(value -> (value.active() ? " evacuates " : " restores ") + value.zone())
                .collect(Collectors.joining());
    }

    private void retainRecent(final LogEntry entry) {
        recentEntries.add(entry);
        recentBytes += entry.estimatedBytes();
        while (recentEntries.size() > 1
                && (recentBytes > MAX_RECENT_BYTES || recentEntries.size() > MAX_RECENT_ENTRIES)) {
            recentBytes -= recentEntries.poll().estimatedBytes();
        }
    }

    /** Drops all pending entries and starts a new generation; the last sequence number is then the committed one. */
    void dropPending() {
        clearPending(committedSequence());
        syncedSequence = lastSequence;
    }

    private void clearPending(final long sequence) {
        pendingEntries.clear();
        pendingValues.clear();
        lastSequence = sequence;
        generation++;
    }

    /** Replaces complete key ranges of the committed state with those received in a repair. */
    void replaceRanges(final Map<Integer, List<Entry>> ranges) {
        ranges.forEach((range, entries) -> stateMachine.replaceRange(range, DIGEST_RANGES, entries));
    }

    /** Returns whether the key ranges of the committed state have these digests. */
    boolean hasDigests(final long[] digests) {
        return Arrays.equals(digests, stateMachine.digests(DIGEST_RANGES));
    }

    /**
     * Completes a repair: sets the committed sequence number, and appends the entries that are pending at the source of the repair. Writes
     * the log as a new snapshot, and calls {@code onSynced} with the time once that is synced, unless a newer generation has started.
     */
    void completeRepair(
            final long sequence, final List<LogEntry> sourcePending, final long now, final LongConsumer onSynced) {
        stateMachine.completeRepair(sequence);
        recentEntries.clear();
        recentBytes = 0;
        clearPending(sequence);
        sourcePending.forEach(this::addPending);
        syncedSequence = 0;
        final long lastRepaired = lastSequence;
        final long startedGeneration = generation;
        snapshots.write(stateMachine, pendingEntries, highestStamp, now, syncedAt -> {
            if (startedGeneration == generation) {
                syncedSequence = Math.max(syncedSequence, lastRepaired);
                onSynced.accept(syncedAt);
            }
        });
    }

    /** Restores a snapshot while the log is replayed. */
    void replay(final LogRecord.Snapshot snapshot) {
        stateMachine.reset(snapshot.sequence(), snapshot.entries());
        stateMachine.completeRepair(snapshot.sequence());
        pendingEntries.clear();
        pendingValues.clear();
        lastSequence = snapshot.sequence();
        highestStamp = Math.max(highestStamp, snapshot.highestStamp());
    }

    /** Restores an entry while the log is replayed; ignores one that doesn't follow the last entry, as its generation was dropped. */
    void replay(final LogRecord.Appended appended) {
        if (appended.entry().sequence() == lastSequence + 1) {
            addPending(appended.entry());
        }
    }

    /** Completes the replay: the whole log counts as synced, and all entries after its last snapshot are pending. */
    void finishReplay() {
        syncedSequence = lastSequence;
    }
}
