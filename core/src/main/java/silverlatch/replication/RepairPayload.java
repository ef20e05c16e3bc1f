package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.wire.ReplicationMessage;

/**
 * What one replica is repaired with: the ranges in which its digests differ, as they are at one sequence, in pieces that leave room on
 * the link for leases and votes. Entries are immutable, so the pieces keep only those in memory that are replaced meanwhile.
 *
 * @param sequence the sequence that the pieces together stand for
 * @param pieces   the pieces in order, one at least
 * @param pending  the entries after that sequence which are synced at the source, in order; sent with the last piece
 * @param digests  the digests of all ranges at that sequence
 */
record RepairPayload(
        long sequence, List<List<ReplicationMessage.RangeEntries>> pieces, List<LogEntry> pending, long[] digests) {
    /** How many bytes a piece has; one entry may be larger. */
    static final long PIECE_BYTES = 64L << 10;

    /** Copies the pieces. */
    RepairPayload {
        pieces = List.copyOf(pieces);
        pending = List.copyOf(pending);
    }

    /** The ranges of a state whose digests differ from the given ones. */
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

    /** The message with one piece; the last one brings the pending entries and the digests of all ranges too. */
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
