package silverlatch.wire;

import java.util.List;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * Messages between the replicas of the shared state: bootstrap, leases, agreement on views, replication and repair.
 *
 * <p>View numbers fence messages: a message with another view number than the receiver's is ignored. Messages of leases and
 * of the view register (the Paxos instances that decide views) are exempt, since their handlers compare the numbers
 * themselves. View numbers and the sequence numbers of log entries start at 1.
 */
public sealed interface ReplicationMessage extends Message {
    /**
     * Discovers the other replicas; sent by a replica that knows no view.
     *
     * @param sender the sending replica
     * @param mayBootstrap whether the sender may take part in bootstrapping a new fleet: its data directory is empty and was
     *     created for that
     * @param discoveredReplicas the replicas from which the sender recently received a discovery message
     */
    record Discover(Replica sender, boolean mayBootstrap, List<Replica> discoveredReplicas)
            implements ReplicationMessage {
        /** Copies the list. */
        public Discover {
            discoveredReplicas = List.copyOf(discoveredReplicas);
        }
    }

    /**
     * Proposes the initial view of a new fleet to all seeds.
     *
     * @param view the initial view
     */
    record Bootstrap(View view) implements ReplicationMessage {}

    /**
     * Agrees to the proposed initial view; sent after the agreement was synced to disk.
     *
     * @param fleet the id of the new fleet
     * @param sender the replica that agrees
     */
    record BootstrapAgreed(long fleet, Replica sender) implements ReplicationMessage {}

    /**
     * Requests a lease from a voter; sent by a member of the chain, and serves as its heartbeat.
     *
     * @param view the number of the sender's view
     * @param requestedAt the sender's monotonic clock, in microseconds; its lease counts from this time
     * @param sender the sending replica
     * @param caughtUp whether the sender holds all entries that the chain holds
     * @param isInContactWithMajority whether the sender recently received messages from a majority of the voters; if not, it is
     *     treated as silent
     */
    record LeaseRequest(long view, long requestedAt, Replica sender, boolean caughtUp, boolean isInContactWithMajority)
            implements ReplicationMessage {}

    /**
     * Grants a lease; sent by a voter.
     *
     * @param view the number of the view under which the lease is valid
     * @param requestedAt the {@code requestedAt} of the request
     * @param voter the voter's identity
     * @param committed the sequence number of the last entry that the voter knows to be committed
     */
    record LeaseGrant(long view, long requestedAt, String voter, long committed) implements ReplicationMessage {}

    /**
     * Announces a decided view.
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
     * Promises to accept no lower ballot; sent after the promise was synced to disk.
     *
     * @param number the number of the view to be decided
     * @param ballot the promised ballot
     * @param voter the voter's identity
     * @param acceptedBallot the highest ballot that the voter has accepted, or 0 if none
     * @param acceptedView the view accepted with that ballot; empty if none
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
     * @param view the proposed view
     */
    record Accept(long number, long ballot, View view) implements ReplicationMessage {}

    /**
     * Accepts a proposal; sent after the acceptance was synced to disk and the leases that the new view revokes have expired.
     *
     * @param number the number of the view to be decided
     * @param ballot the accepted ballot
     * @param voter the voter's identity
     */
    record Accepted(long number, long ballot, String voter) implements ReplicationMessage {}

    /**
     * Rejects a ballot.
     *
     * @param number the number of the view to be decided
     * @param ballot the higher ballot that the voter has promised
     */
    record Preempted(long number, long ballot) implements ReplicationMessage {}

    /**
     * Sends log entries, which the sender has already synced to disk, to the successor in the chain.
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
     * Acknowledges that a successor received entries in memory; doesn't imply that they are synced to its disk.
     *
     * @param view the number of the sender's view
     * @param id the sender's identity
     * @param sequence the sequence number of the last entry that the sender has in memory
     */
    record ReplicateAck(long view, String id, long sequence) implements ReplicationMessage {}

    /**
     * Announces up to which entry the log is committed; sent by the tail.
     *
     * @param view the number of the sender's view
     * @param sequence the sequence number of the last committed entry
     */
    record CommitNotice(long view, long sequence) implements ReplicationMessage {}

    /**
     * Tells a successor up to which entry it has to catch up; sent by its predecessor.
     *
     * @param view the number of the sender's view
     * @param sequence the sequence number of the last entry in the sender's log
     */
    record CatchUpTarget(long view, long sequence) implements ReplicationMessage {}

    /**
     * Requests the entries after a sequence number; sent by a successor to its predecessor.
     *
     * @param view the number of the sender's view
     * @param id the sender's identity
     * @param sequence the sequence number of the last entry in the sender's log
     */
    record FetchEntries(long view, String id, long sequence) implements ReplicationMessage {}

    /**
     * Requests a repair by comparison of digests; sent by a replica that is behind.
     *
     * @param view the number of the sender's view
     * @param sender the sending replica
     * @param sequence the sequence number of the last entry that the sender's state includes
     * @param digests the digests of the sender's state by key range
     */
    record CompareDigests(long view, Replica sender, long sequence, long[] digests) implements ReplicationMessage {}

    /**
     * One piece of a repair: entries of the key ranges whose digests differ.
     *
     * @param view the number of the sender's view
     * @param sequence the sequence number of the last entry that the repaired state includes; the same in all pieces
     * @param piece the number of this piece, starting at 0
     * @param pieces the total number of pieces
     * @param ranges the key ranges in this piece
     * @param pending in the last piece, the entries after the sequence number that the sender has synced but doesn't know to
     *     be committed
     * @param digests in the last piece, the digests of all ranges; if the repaired state has other digests, the pieces belong
     *     to an older repair request
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
     * @param entries all entries in the range
     */
    record RangeEntries(int range, List<Entry> entries) {
        /** Copies the list. */
        public RangeEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Requests a piece of a repair; sent by the replica under repair.
     *
     * @param view the number of the sender's view
     * @param sender the sending replica
     * @param sequence the {@code sequence} of the repair's pieces
     * @param piece the number of the requested piece; the sender holds all earlier pieces
     */
    record RepairPieceRequest(long view, Replica sender, long sequence, int piece) implements ReplicationMessage {}

    /**
     * Requests to be added at the tail of the chain; sent by a repaired replica.
     *
     * @param view the number of the sender's view
     * @param sender the sending replica
     * @param sequence the sequence number of the last entry that the sender's state includes
     */
    record JoinRequest(long view, Replica sender, long sequence) implements ReplicationMessage {}
}
