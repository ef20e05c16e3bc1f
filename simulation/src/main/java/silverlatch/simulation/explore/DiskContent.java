package silverlatch.simulation.explore;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.state.Entry;

/**
 * The state that a replica would recover from its disk: a snapshot and the changes that follow it without a gap.
 *
 * @param base     the sequence number of the snapshot, 0 without one
 * @param snapshot the entries of the snapshot by key
 * @param changes  the entries that each later change writes, by its sequence number
 */
record DiskContent(long base, Map<String, Entry> snapshot, Map<Long, List<Entry>> changes) {
    /** Reads the synced records of a disk. */
    static DiskContent of(final List<LogRecord> disk) {
        long base = 0;
        long last = 0;
        final Map<String, Entry> snapshot = new HashMap<>();
        final Map<Long, List<Entry>> changes = new HashMap<>();
        for (final LogRecord entry : disk) {
            if (entry instanceof LogRecord.Snapshot whole) {
                base = whole.sequence();
                last = base;
                changes.clear();
                whole.entries().forEach(held -> snapshot.put(held.key(), held));
            } else if (entry instanceof LogRecord.Appended appended
                    && appended.entry().sequence() == last + 1) {
                last++;
                changes.put(last, appended.entry().puts());
            }
        }
        return new DiskContent(base, snapshot, changes);
    }

    /** Returns whether the change with a sequence number is recovered with these entries, as a change or in the snapshot. */
    boolean contains(final long sequence, final List<Entry> entries) {
        return sequence <= base
                ? entries.stream().allMatch(this::isInSnapshot)
                : Optional.ofNullable(changes.get(sequence))
                        .map(puts -> puts.containsAll(entries))
                        .orElse(false);
    }

    private boolean isInSnapshot(final Entry entry) {
        return Optional.ofNullable(snapshot.get(entry.key()))
                .map(held -> held.sequence() >= entry.sequence())
                .orElse(false);
    }
}
