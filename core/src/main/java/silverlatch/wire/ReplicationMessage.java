package silverlatch.wire;

import java.util.List;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * Messages between the replicas of the shared state: founding, leases, agreement on views, replication, repair.
 *
 * <p>A view number fences: but for those of leases and of the view register, which compare numbers themselves, a message of
 * another view than the receiver's is ignored. Numbers of views start at 1; sequences number the log's entries from 1.
 */
public sealed interface ReplicationMessage extends Message {
    /**
     * A replica that knows no view looks for the others.
     *
     * @param sender the replica
     * @param mayBootstrap whether it may take part in a first founding: its folder is empty and was made for that
     * @param reachableReplicas the replicas that it has heard of late
     */
    record Discover(Replica sender, boolean mayBootstrap, List<Replica> reachableReplicas)
            implements ReplicationMessage {
        /** Copies the list. */
        public Discover {
            reachableReplicas = List.copyOf(reachableReplicas);
        }
    }

    /**
     * Proposes a founding to all seeds.
     *
     * @param view the first view
     */
    record Bootstrap(View view) implements ReplicationMessage {}

    /**
     * Agrees to a founding; sent once that is synced.
     *
     * @param fleet the number of the fleet that is founded
     * @param sender the replica that agrees
     */
    record BootstrapAgreed(long fleet, Replica sender) implements ReplicationMessage {}

    /**
     * A member of the chain asks a voter for a lease, and shows that it is alive.
     *
     * @param view the number of the sender's view
     * @param requestedAt the sender's monotonic clock, in microseconds; its lease is dated from here
     * @param sender the member
     * @param caughtUp whether it holds all that its chain holds
     * @param isInContactWithMajority whether it has heard a majority of the voters of late; one that hasn't counts as silent
     */
    record LeaseRequest(long view, long requestedAt, Replica sender, boolean caughtUp, boolean isInContactWithMajority)
            implements ReplicationMessage {}

    /**
     * A voter grants a lease.
     *
     * @param view the number of the view that it holds under
     * @param requestedAt the request's {@code requestedAt}
     * @param voter the voter's identity
     * @param committed the sequence up to which the voter knows entries to be committed
     */
    record LeaseGrant(long view, long requestedAt, String voter, long committed) implements ReplicationMessage {}

    /**
     * Tells a decided view.
     *
     * @param view the view
     */
    record ViewDecided(View view) implements ReplicationMessage {}

    /**
     * Phase 1 of the view register, a single-decree Paxos per view number.
     *
     * @param number the number of the view to be decided
     * @param ballot the proposal number
     */
    record Prepare(long number, long ballot) implements ReplicationMessage {}

    /**
     * Promises to accept no lower ballot; sent once that is synced.
     *
     * @param number the number of the view to be decided
     * @param ballot the ballot promised
     * @param voter the voter's identity
     * @param acceptedBallot the highest ballot that the voter has accepted, or 0
     * @param acceptedView the view accepted with it; empty where none was
     */
    record Promise(long number, long ballot, String voter, long acceptedBallot, List<View> acceptedView)
            implements ReplicationMessage {
        /** Copies the list. */
        public Promise {
            acceptedView = List.copyOf(acceptedView);
        }
    }

    /**
     * Phase 2 of the view register.
     *
     * @param number the number of the view to be decided
     * @param ballot the proposal number
     * @param view the view proposed
     */
    record Accept(long number, long ballot, View view) implements ReplicationMessage {}

    /**
     * Accepts a proposal; sent once that is synced and the leases that the view takes away have run out.
     *
     * @param number the number of the view to be decided
     * @param ballot the ballot accepted
     * @param voter the voter's identity
     */
    record Accepted(long number, long ballot, String voter) implements ReplicationMessage {}

    /**
     * Refuses a ballot.
     *
     * @param number the number of the view to be decided
     * @param ballot the higher ballot that the voter has promised
     */
    record Preempted(long number, long ballot) implements ReplicationMessage {}

    /**
     * Entries for the successor in the chain, synced at the sender.
     *
     * @param view the number of the sender's view
     * @param entries the entries, in order and without gaps
     */
    record Replicate(long view, List<LogEntry> entries) implements ReplicationMessage {
        /** Copies the list. */
        public Replicate {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A successor has received entries; it says nothing of its disk.
     *
     * @param view the number of the sender's view
     * @param id the sender's identity
     * @param sequence the last entry that it has in memory
     */
    record ReplicateAck(long view, String id, long sequence) implements ReplicationMessage {}

    /**
     * The tail tells what is committed.
     *
     * @param view the number of the sender's view
     * @param sequence the last committed entry
     */
    record CommitNotice(long view, long sequence) implements ReplicationMessage {}

    /**
     * A predecessor tells a successor up to where it has to catch up.
     *
     * @param view the number of the sender's view
     * @param sequence the last entry of the sender's log
     */
    record CatchUpTarget(long view, long sequence) implements ReplicationMessage {}

    /**
     * A successor asks for the entries after a sequence.
     *
     * @param view the number of the sender's view
     * @param id the sender's identity
     * @param sequence the last entry of the sender's log
     */
    record FetchEntries(long view, String id, long sequence) implements ReplicationMessage {}

    /**
     * A replica that is behind asks for a repair.
     *
     * @param view the number of the sender's view
     * @param sender the replica
     * @param sequence the sequence that its state stands for
     * @param digests the digests of its state by key range
     */
    record CompareDigests(long view, Replica sender, long sequence, long[] digests) implements ReplicationMessage {}

    /**
     * One piece of the key ranges that differ.
     *
     * @param view the number of the sender's view
     * @param sequence the sequence that all pieces of the repair stand for
     * @param piece the number of this piece, from 0
     * @param pieces how many there are
     * @param ranges the ranges of this piece
     * @param pending in the last piece, the entries after the sequence which the source has synced and doesn't know to be
     *     committed
     * @param digests in the last piece, the digests of all ranges: the repaired state must have the same, or the pieces
     *     answered an older question
     */
    record RepairRanges(
            long view,
            long sequence,
            int piece,
            int pieces,
            List<RangeEntries> ranges,
            List<LogEntry> pending,
            long[] digests)
            implements ReplicationMessage {
        /** Copies the lists. */
        public RepairRanges {
            ranges = List.copyOf(ranges);
            pending = List.copyOf(pending);
        }
    }

    /**
     * The entries of a key range.
     *
     * @param range the number of the range
     * @param entries all entries in it
     */
    record RangeEntries(int range, List<Entry> entries) {
        /** Copies the list. */
        public RangeEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A replica under repair asks for a piece.
     *
     * @param view the number of the sender's view
     * @param sender the replica
     * @param sequence the sequence that the repair stands for
     * @param piece the number of the piece; it holds all before
     */
    record RepairPieceRequest(long view, Replica sender, long sequence, int piece) implements ReplicationMessage {}

    /**
     * A repaired replica asks to be put at the end of the chain.
     *
     * @param view the number of the sender's view
     * @param sender the replica
     * @param sequence the sequence that its state stands for
     */
    record JoinRequest(long view, Replica sender, long sequence) implements ReplicationMessage {}
}
