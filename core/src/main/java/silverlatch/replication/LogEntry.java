package silverlatch.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import silverlatch.clock.Stamp;
import silverlatch.state.Entry;

/** One change in the chain's order: its sequence, the view that let it in, its stamp, and what it writes. */
public record LogEntry(long sequence, long view, Stamp stamp, List<Entry> puts) {
    /** Copies the entries. */
    public LogEntry {
        puts = List.copyOf(puts);
    }

    /** About how many bytes the change takes in a frame. */
    public long estimatedBytes() {
        return 64 + puts.stream().mapToLong(Entry::estimatedBytes).sum();
    }

    /** As many changes as may go in one frame: the first, and what else is light enough. */
    static List<LogEntry> batch(final Stream<LogEntry> all, final int limitEntries, final long limitBytes) {
        final List<LogEntry> batch = new ArrayList<>();
        long bytes = 0;
        for (final Iterator<LogEntry> entries = all.iterator(); entries.hasNext() && batch.size() < limitEntries; ) {
            final LogEntry entry = entries.next();
            bytes += entry.estimatedBytes();
            if (!batch.isEmpty() && bytes > limitBytes) {
                return batch;
            }
            batch.add(entry);
        }
        return batch;
    }
}
