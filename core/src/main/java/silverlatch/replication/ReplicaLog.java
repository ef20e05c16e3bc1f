package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.stream.Stream;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;

/**
 * The replicated log of one replica: the committed state, the entries that are pending after it, and how far they are synced here.
 *
 * <p>Invariants: committed, then synced, then last sequence, in this order; entries follow each other without a gap; only what is
 * committed is in the state machine. Pending entries are dropped when the replica leaves the chain or is repaired: then a new generation
 * begins, and syncs of the one before change nothing.
 */
final class ReplicaLog {
    /** Into how many ranges the state is cut for digests. */
    static final int DIGEST_RANGES = 64;

    private static final long MAX_RECENT_BYTES = 8L << 20;
    private static final int MAX_RECENT_ENTRIES = 10_000;
    private final SnapshotWriter snapshots;
    private final EffectQueue effects;
    private final StateMachine stateMachine;
    /** Runs with the time when entries of the present generation were synced. */
    private final LongConsumer onEntriesSynced;
    /** Runs with the sequence of each entry that is committed. */
    private final LongConsumer onCommitted;

    private final Deque<LogEntry> pendingEntries = new ArrayDeque<>();
    /** The newest pending value of each key. */
    private final Map<String, Entry> pendingValues = new HashMap<>();
    /** The newest committed entries, for a successor that lacks them. */
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

    /** The committed state. */
    StateMachine stateMachine() {
        return stateMachine;
    }

    /** The newest committed sequence. */
    long committedSequence() {
        return stateMachine.sequence();
    }

    /** The newest sequence up to which the log is synced here. */
    long syncedSequence() {
        return syncedSequence;
    }

    /** The newest sequence of the log. */
    long lastSequence() {
        return lastSequence;
    }

    /** The highest stamp of an entry that was ever in this log. */
    long highestStamp() {
        return highestStamp;
    }

    /** The pending values by key, over those of the state machine. */
    Map<String, Entry> pendingValues() {
        return pendingValues;
    }

    /** The pending entries in order. */
    List<LogEntry> pendingEntries() {
        return List.copyOf(pendingEntries);
    }

    /** How many entries are pending. */
    int pendingCount() {
        return pendingEntries.size();
    }

    /** The pending entries that are synced here, in order. */
    List<LogEntry> syncedPendingEntries() {
        return pendingEntries.stream()
                .filter(entry -> entry.sequence() <= syncedSequence)
                .toList();
    }

    /** Whether an entry is synced here and not known to be committed. */
    boolean hasSyncedPending() {
        return !pendingEntries.isEmpty() && pendingEntries.peek().sequence() <= syncedSequence;
    }

    /** Whether a change of policy is pending. */
    boolean hasPendingPolicy() {
        return pendingEntries.stream().anyMatch(ReplicaLog::changesPolicy);
    }

    private static boolean changesPolicy(final LogEntry entry) {
        return entry.puts().stream().anyMatch(Entry::isPolicy);
    }

    /** The entries from some one not after this sequence on, in order; recent ones are lacking where they are too old. */
    Stream<LogEntry> entriesSince(final long sequence) {
        final Stream<LogEntry> committed = sequence < committedSequence() ? recentEntries.stream() : Stream.empty();
        return Stream.concat(committed, pendingEntries.stream());
    }

    /** Appends entries that follow the last one, and syncs them. */
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

    /** Commits the pending entries up to a sequence, as far as they are synced here; writes a snapshot where one is due. */
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
                            + entry.stamp().bits());
        }
        onCommitted.accept(entry.sequence());
    }

    private void retainRecent(final LogEntry entry) {
        recentEntries.add(entry);
        recentBytes += entry.estimatedBytes();
        while (recentEntries.size() > 1
                && (recentBytes > MAX_RECENT_BYTES || recentEntries.size() > MAX_RECENT_ENTRIES)) {
            recentBytes -= recentEntries.poll().estimatedBytes();
        }
    }

    /** Drops what is pending; a new generation begins after what is committed. */
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

    /** Takes over whole ranges of the committed state from a repair. */
    void replaceRanges(final Map<Integer, List<Entry>> ranges) {
        ranges.forEach((range, entries) -> stateMachine.replaceRange(range, DIGEST_RANGES, entries));
    }

    /** Whether the committed state has these digests. */
    boolean hasDigests(final long[] digests) {
        return Arrays.equals(digests, stateMachine.digests(DIGEST_RANGES));
    }

    /**
     * Ends a repair: the state stands at this sequence, and the entries that the source has pending follow. The log is written anew; the
     * continuation runs when it is synced, unless yet another generation has begun.
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

    /** Takes over a snapshot while the log is read. */
    void replay(final LogRecord.Snapshot snapshot) {
        stateMachine.reset(snapshot.sequence(), snapshot.entries());
        stateMachine.completeRepair(snapshot.sequence());
        pendingEntries.clear();
        pendingValues.clear();
        lastSequence = snapshot.sequence();
        highestStamp = Math.max(highestStamp, snapshot.highestStamp());
    }

    /** Takes over an entry while the log is read; one that doesn't follow the last is of a dropped generation. */
    void replay(final LogRecord.Appended appended) {
        if (appended.entry().sequence() == lastSequence + 1) {
            addPending(appended.entry());
        }
    }

    /** The log has been read: all of it is synced, and all after its last snapshot is pending. */
    void finishReplay() {
        syncedSequence = lastSequence;
    }
}
