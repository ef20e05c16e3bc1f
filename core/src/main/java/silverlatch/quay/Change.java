package silverlatch.quay;

import java.util.List;
import silverlatch.tariff.Entry;
import silverlatch.tide.Stamp;

/** One change in the chain's order: its sequence, the view that let it in, its stamp, and what it writes. */
public record Change(long sequence, long view, Stamp stamp, List<Entry> puts) {
    /** Copies the entries. */
    public Change {
        puts = List.copyOf(puts);
    }
}
