package silverlatch.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The entries of the state by key, with counts and an index of policy entries by sequence.
 *
 * <p>A deleted policy entry remains as a tombstone, so that a gateway that requests the changes since a revision learns
 * of the deletion; any other deleted entry is removed. Between {@link #replaceRange} and {@link #completeRepair} the
 * index and the counts are out of date. Not thread-safe: confined to the event loop of its state machine.
 */
final class EntryTable {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeSet<Entry> policyBySequence =
            new TreeSet<>(Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key));
    private long sequence;
    private long policyRevision;
    private long tableRevision;
    private int claimCount;

    /** Returns the newest sequence applied. */
    long sequence() {
        return sequence;
    }

    /** Returns the newest sequence that wrote a policy entry. */
    long policyRevision() {
        return policyRevision;
    }

    /** Returns the newest sequence that wrote a row of the table. */
    long tableRevision() {
        return tableRevision;
    }

    /** Returns the number of claims. */
    int claimCount() {
        return claimCount;
    }

    /**
     * Applies the entries that one change wrote. A write that is older than the current entry of its key is ignored,
     * except the deletion of an entry that is not policy.
     */
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

    /** Replaces all entries. */
    void reset(final long newSequence, final Collection<Entry> newEntries) {
        entries.clear();
        policyRevision = 0;
        rebuildIndex(0);
        apply(newSequence, newEntries);
    }

    /** Replaces the entries of one digest range. */
    void replaceRange(final int range, final int rangeCount, final Collection<Entry> rangeEntries) {
        entries.values().removeIf(entry -> EntryDigests.rangeOf(entry.key(), rangeCount) == range);
        rangeEntries.forEach(entry -> entries.put(entry.key(), entry));
    }

    /** Completes a repair: rebuilds index and counts. The new sequence may be lower than the one before the repair. */
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

    /** Returns all entries, sorted by key. */
    List<Entry> all() {
        return List.copyOf(entries.values());
    }

    /** Returns the policy entries, including tombstones, that were written after a revision, oldest first. */
    List<Entry> policySince(final long revision) {
        return List.copyOf(policyBySequence.tailSet(new Entry("", revision + 1, List.of())));
    }

    /** Returns the entry of a key, which may be a tombstone. */
    Optional<Entry> find(final String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns the entries whose keys start with a prefix, including tombstones, as a view of this table. */
    SortedMap<String, Entry> withPrefix(final String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** Returns the digest of each range. */
    long[] digests(final int rangeCount) {
        return EntryDigests.of(entries.values(), rangeCount);
    }

    /** Returns the entries of one digest range. */
    List<Entry> inRange(final int range, final int rangeCount) {
        return entries.values().stream()
                .filter(entry -> EntryDigests.rangeOf(entry.key(), rangeCount) == range)
                .toList();
    }
}
