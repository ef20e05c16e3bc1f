package silverlatch.simulation.explore;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.state.Entry;

/** What a replica would know from its disk: a snapshot, and the changes that follow on it without a gap. */
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

    /** Whether the change of a sequence is there with these entries among its own, or within the snapshot. */
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
