package silverlatch.log;

import java.util.List;
import silverlatch.replication.LogEntry;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/** What is written to the ledger. */
public sealed interface LogRecord {
    /** A change in the chain. */
    record Appended(LogEntry entry) implements LogRecord {}

    /** A decided view. */
    record ViewInstalled(View view, boolean caughtUp) implements LogRecord {}

    /** A promise of the view register. */
    record Promised(long viewNumber, long ballot) implements LogRecord {}

    /** An accepted proposal of the view register. */
    record Accepted(long viewNumber, long ballot, View view) implements LogRecord {}

    /** A founding this machine agreed to. */
    record Founding(View view) implements LogRecord {}

    /** Notes written and synced together. */
    record Batch(List<LogRecord> records) implements LogRecord {
        /** Copies the notes. */
        public Batch {
            records = List.copyOf(records);
        }
    }

    /** Everything up to a sequence; the roof is the newest stamp of a change. */
    record Snapshot(
            long sequence,
            View view,
            boolean caughtUp,
            long promisedBallot,
            long acceptedBallot,
            List<View> acceptedView,
            long highestStamp,
            List<Entry> entries)
            implements LogRecord {
        /** Copies the lists. */
        public Snapshot {
            acceptedView = List.copyOf(acceptedView);
            entries = List.copyOf(entries);
        }

        /** The same with other entries. */
        Snapshot withEntries(final List<Entry> others) {
            return new Snapshot(
                    sequence, view, caughtUp, promisedBallot, acceptedBallot, acceptedView, highestStamp, others);
        }
    }

    /** Some of the entries of the snapshot whose file this is a part of; an empty one ends the file. */
    record SnapshotPart(List<Entry> entries) implements LogRecord {
        /** Copies the entries. */
        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}
