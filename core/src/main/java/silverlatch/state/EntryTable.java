package silverlatch.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The entries of the state by key, and what is counted and indexed of them.
 *
 * <p>A deleted entry of policy stays as a tombstone, so that a data plane that follows by revision learns of it; any
 * other is removed. Between {@link #replaceRange} and {@link #completeRepair} the index and the counts are not up to
 * date. Not thread-safe: it belongs to the event loop of its state machine.
 */
final class EntryTable {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeSet<Entry> policyBySequence =
            new TreeSet<>(Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key));
    private long sequence;
    private long policyRevision;
    private long tableRevision;
    private int claimCount;

    /** The newest sequence applied. */
    long sequence() {
        return sequence;
    }

    /** The newest sequence that wrote an entry of policy. */
    long policyRevision() {
        return policyRevision;
    }

    /** The newest sequence that wrote a row of the table. */
    long tableRevision() {
        return tableRevision;
    }

    /** How many claims there are. */
    int claimCount() {
        return claimCount;
    }

    /** Applies the entries that one change wrote. */
    void apply(final long newSequence, final Collection<Entry> writes) {
        sequence = Math.max(sequence, newSequence);
        writes.forEach(this::apply);
    }

    private void apply(final Entry write) {
        if (write.isPolicy()) {
            policyRevision = Math.max(policyRevision, write.sequence());
        }
        if (write.isDeleted() && !write.isPolicy()) {
            Optional.ofNullable(entries.remove(write.key())).ifPresent(this::removeFromIndex);
            return;
        }
        final Optional<Entry> current = find(write.key());
        if (current.isEmpty() || write.sequence() >= current.get().sequence()) {
            current.ifPresent(this::removeFromIndex);
            entries.put(write.key(), write);
            addToIndex(write);
        }
    }

    private void addToIndex(final Entry entry) {
        claimCount += isClaim(entry) ? 1 : 0;
        if (entry.isPolicy()) {
            policyBySequence.add(entry);
        }
        if (entry.key().startsWith(EntryKeys.ROWS)) {
            tableRevision = Math.max(tableRevision, entry.sequence());
        }
    }

    private void removeFromIndex(final Entry entry) {
        claimCount -= isClaim(entry) ? 1 : 0;
        if (entry.isPolicy()) {
            policyBySequence.remove(entry);
        }
    }

    private static boolean isClaim(final Entry entry) {
        return entry.key().startsWith(EntryKeys.CLAIMS);
    }

    /** Replaces everything. */
    void reset(final long newSequence, final Collection<Entry> newEntries) {
        entries.clear();
        policyRevision = 0;
        rebuildIndex(0);
        apply(newSequence, newEntries);
    }

    /** Replaces the entries of one range of digests. */
    void replaceRange(final int range, final int rangeCount, final Collection<Entry> rangeEntries) {
        entries.values().removeIf(entry -> EntryDigests.rangeOf(entry.key(), rangeCount) == range);
        rangeEntries.forEach(entry -> entries.put(entry.key(), entry));
    }

    /** Ends a repair: the entries are those of a sequence, which may be lower than the one before. */
    void completeRepair(final long newSequence) {
        rebuildIndex(newSequence);
        policyRevision =
                policyBySequence.isEmpty() ? 0 : policyBySequence.last().sequence();
    }

    private void rebuildIndex(final long newSequence) {
        sequence = newSequence;
        policyBySequence.clear();
        tableRevision = 0;
        claimCount = 0;
        entries.values().forEach(this::addToIndex);
    }

    /** All entries, in the order of their keys. */
    List<Entry> all() {
        return List.copyOf(entries.values());
    }

    /** The entries of policy, tombstones too, that were written after a sequence, oldest first. */
    List<Entry> policySince(final long revision) {
        return List.copyOf(policyBySequence.tailSet(new Entry("", revision + 1, List.of())));
    }

    /** The entry of a key; it may be a tombstone. */
    Optional<Entry> find(final String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The entries whose keys start so, tombstones too; a view of this table. */
    SortedMap<String, Entry> withPrefix(final String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** The digest of each range. */
    long[] digests(final int rangeCount) {
        return EntryDigests.of(entries.values(), rangeCount);
    }

    /** The entries of one range. */
    List<Entry> inRange(final int range, final int rangeCount) {
        return entries.values().stream()
                .filter(entry -> EntryDigests.rangeOf(entry.key(), rangeCount) == range)
                .toList();
    }
}
