package silverlatch.replication;

import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.state.Entry;

/**
 * One entry of the replicated log.
 *
 * @param sequence its position in the log, from 1 on without a gap
 * @param view     the number of the view under which the head admitted it
 * @param stamp    the head's clock stamp, above those of all entries before
 * @param puts     the values that it writes
 */
public record LogEntry(long sequence, long view, Stamp stamp, List<Entry> puts) {
    /** Copies the values. */
    public LogEntry {
        puts = List.copyOf(puts);
    }

    /** About how many bytes the entry takes in a frame. */
    public long estimatedBytes() {
        return 64 + puts.stream().mapToLong(Entry::estimatedBytes).sum();
    }
}
