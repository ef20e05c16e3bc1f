package silverlatch.log;

import java.util.List;
import silverlatch.replication.LogEntry;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * What is written to the log of a data folder. Records are stored by number and order of components
 * ({@link silverlatch.wire.WireTypes}); the names of types and components are free.
 */
public sealed interface LogRecord {
    /** An entry of the chain, committed or not. */
    record Appended(LogEntry entry) implements LogRecord {}

    /** A decided view, and whether this machine has all that its chain has. */
    record ViewInstalled(View view, boolean caughtUp) implements LogRecord {}

    /** A promise to accept no lower ballot for the view of a number (Paxos). */
    record Promised(long viewNumber, long ballot) implements LogRecord {}

    /** An accepted proposal for the view of a number (Paxos). */
    record Accepted(long viewNumber, long ballot, View view) implements LogRecord {}

    /** A first view that this machine agreed to. */
    record InitialViewAgreed(View view) implements LogRecord {}

    /** Records written and synced together. */
    record Batch(List<LogRecord> records) implements LogRecord {
        /** Copies the records. */
        public Batch {
            records = List.copyOf(records);
        }
    }

    /**
     * All that came before it: it stands for every earlier record.
     *
     * @param sequence       the sequence of the state
     * @param view           the view installed
     * @param caughtUp       whether this machine has all that its chain has
     * @param promisedBallot the ballot promised for the next view, 0 where there is none
     * @param acceptedBallot the ballot of the proposal accepted for the next view, 0 where there is none
     * @param acceptedView   the view of that proposal, or none
     * @param highestStamp   the bits of the highest stamp of an entry
     * @param entries        the state's entries
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
