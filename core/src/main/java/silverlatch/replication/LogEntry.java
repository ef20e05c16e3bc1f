package silverlatch.replication;

import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.state.Entry;

/**
 * One entry of the replicated log.
 *
 * @param sequence its position in the log; sequence numbers start at 1 and have no gaps
 * @param view     the number of the view under which the head admitted it
 * @param stamp    the timestamp of the head's clock, higher than those of all previous entries
 * @param puts     the state entries that it writes
 */
public record LogEntry(long sequence, long view, Stamp stamp, List<Entry> puts) {
    /** Copies the list of state entries. */
    public LogEntry {
        puts = List.copyOf(puts);
    }

    /** Returns the approximate size of the entry in a frame, in bytes. */
    public long estimatedBytes() {
        return 64 + puts.stream().mapToLong(Entry::estimatedBytes).sum();
    }
}
