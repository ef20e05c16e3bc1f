package silverlatch.ledger;

import java.util.List;
import silverlatch.quay.Change;
import silverlatch.quay.View;
import silverlatch.tariff.Entry;

/** What is written to the ledger. */
public sealed interface Note {
    /** A change in the chain. */
    record Deed(Change change) implements Note {
    }

    /** A decided view. */
    record Seen(View view, boolean level) implements Note {
    }

    /** A promise of the view register. */
    record Vow(long number, long ballot) implements Note {
    }

    /** An accepted proposal of the view register. */
    record Nod(long number, long ballot, View view) implements Note {
    }

    /** A founding this machine agreed to. */
    record Birth(View view) implements Note {
    }

    /** Notes written and synced together. */
    record Batch(List<Note> notes) implements Note {
        /** Copies the notes. */
        public Batch {
            notes = List.copyOf(notes);
        }
    }

    /** Everything up to a sequence; the roof is the newest stamp of a change. */
    record Picture(long sequence, View view, boolean level, long ballot, long nodded, List<View> nod, long roof,
                   List<Entry> entries) implements Note {
        /** Copies the lists. */
        public Picture {
            nod = List.copyOf(nod);
            entries = List.copyOf(entries);
        }
    }
}
