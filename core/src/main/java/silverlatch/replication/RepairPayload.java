package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.wire.ReplicationMessage;

/**
 * The data with which one replica is repaired: the key ranges whose digests differ, as of one sequence number, split into pieces small
 * enough to leave bandwidth on the link for leases and votes. Entries are immutable and shared with the state machine, so the pieces take
 * extra memory only for entries that are replaced in the state machine meanwhile.
 *
 * @param sequence the committed sequence number of the state that the pieces were taken from
 * @param pieces   the pieces in order; at least one
 * @param pending  the entries after that sequence number that are synced at the source, in order; sent with the last piece
 * @param digests  the digests of all key ranges at that sequence number
 */
record RepairPayload(
        long sequence, List<List<ReplicationMessage.RangeEntries>> pieces, List<LogEntry> pending, long[] digests) {
    /** The maximum size of a piece in bytes; a single larger entry is sent in a piece of its own. */
    static final long PIECE_BYTES = 64L << 10;

    /** Copies the lists. */
    RepairPayload {
        pieces = List.copyOf(pieces);
        pending = List.copyOf(pending);
    }

    /** Returns the payload with the key ranges of a state whose digests differ from the given ones. */
    static RepairPayload of(final StateMachine state, final long[] otherDigests, final List<LogEntry> pending) {
        final int ranges = otherDigests.length;
        final long[] own = state.digests(ranges);
        final List<List<ReplicationMessage.RangeEntries>> pieces = new ArrayList<>();
        List<ReplicationMessage.RangeEntries> piece = new ArrayList<>();
        long bytes = 0;
        for (int range = 0; range < ranges; range++) {
            if (own[range] == otherDigests[range]) {
                continue;
            }
            List<Entry> rangeEntries = new ArrayList<>();
            for (final Entry entry : state.entriesInRange(range, ranges)) {
                if (bytes > 0 && bytes + entry.estimatedBytes() > PIECE_BYTES) {
                    piece.add(new ReplicationMessage.RangeEntries(range, rangeEntries));
                    pieces.add(piece);
                    piece = new ArrayList<>();
                    rangeEntries = new ArrayList<>();
                    bytes = 0;
                }
                rangeEntries.add(entry);
                bytes += entry.estimatedBytes();
            }
            piece.add(new ReplicationMessage.RangeEntries(range, rangeEntries));
        }
        pieces.add(piece);
        return new RepairPayload(state.sequence(), pieces, pending, own);
    }

    /** Returns the message with one piece; that of the last piece also has the pending entries and the digests of all key ranges. */
    ReplicationMessage.RepairRanges message(final long viewNumber, final int piece) {
        final boolean isLast = piece == pieces.size() - 1;
        return new ReplicationMessage.RepairRanges(
                viewNumber,
                sequence,
                piece,
                pieces.size(),
                pieces.get(piece),
                isLast ? pending : List.of(),
                isLast ? digests : new long[0]);
    }
}
