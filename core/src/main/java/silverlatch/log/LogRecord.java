package silverlatch.log;

import java.util.List;
import silverlatch.replication.LogEntry;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * A record in the write-ahead log of a data directory. Records are stored with type numbers and by position of their
 * components ({@link silverlatch.wire.WireTypes}), so types and components may be renamed without changing the format.
 */
public sealed interface LogRecord {
    /** A replicated log entry, committed or not. */
    record Appended(LogEntry entry) implements LogRecord {}

    /** A decided view, and whether this replica holds all entries that the chain of the view holds. */
    record ViewInstalled(View view, boolean caughtUp) implements LogRecord {}

    /** A Paxos promise to accept no lower ballot in the decision on the view with the given number. */
    record Promised(long viewNumber, long ballot) implements LogRecord {}

    /** A proposal accepted (Paxos) in the decision on the view with the given number. */
    record Accepted(long viewNumber, long ballot, View view) implements LogRecord {}

    /** The initial view of a new fleet that this machine agreed to during bootstrap. */
    record InitialViewAgreed(View view) implements LogRecord {}

    /** Records that are written and synced together, under one checksum. */
    record Batch(List<LogRecord> records) implements LogRecord {
        /** Copies the records. */
        public Batch {
            records = List.copyOf(records);
        }
    }

    /**
     * A snapshot of the replica's persistent state; it replaces all earlier records.
     *
     * @param sequence       the sequence number of the last log entry that the state includes
     * @param view           the installed view
     * @param caughtUp       whether this replica holds all entries that the chain of the view holds
     * @param promisedBallot the ballot promised for the next view, 0 if none
     * @param acceptedBallot the ballot of the proposal accepted for the next view, 0 if none
     * @param acceptedView   the view of that proposal; empty if there is none
     * @param highestStamp   the bits of the highest stamp of any log entry
     * @param entries        the entries of the state
     */
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

        /** Returns a copy of this snapshot with other entries. */
        Snapshot withEntries(final List<Entry> others) {
            return new Snapshot(
                    sequence, view, caughtUp, promisedBallot, acceptedBallot, acceptedView, highestStamp, others);
        }
    }

    /** Some of the entries of a snapshot, stored in the snapshot's file; a part without entries marks the end of the file. */
    record SnapshotPart(List<Entry> entries) implements LogRecord {
        /** Copies the entries. */
        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}
