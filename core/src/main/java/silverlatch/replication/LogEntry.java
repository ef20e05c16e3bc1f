package silverlatch.replication;

import java.util.List;
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
}
