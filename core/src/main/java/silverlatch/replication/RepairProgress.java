package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.state.Entry;
import silverlatch.wire.ReplicationMessage;

/** The received pieces of one repair. Pieces are accepted only in order, from one source and for one sequence number. */
final class RepairProgress {
    private final long sequence;
    private final int pieces;
    private final String source;
    private final Map<Integer, List<Entry>> ranges = new TreeMap<>();
    private int nextPiece;
    private long receivedAt;

    RepairProgress(final ReplicationMessage.RepairRanges first, final String source) {
        this.sequence = first.sequence();
        this.pieces = first.pieces();
        this.source = source;
    }

    /** Accepts a piece if it is the next one of this repair; returns whether it is. */
    boolean accept(final ReplicationMessage.RepairRanges piece, final String sender, final long now) {
        if (piece.sequence() != sequence || piece.piece() != nextPiece || !sender.equals(source)) {
            return false;
        }
        piece.ranges()
                .forEach(range -> ranges.computeIfAbsent(range.range(), r -> new ArrayList<>())
                        .addAll(range.entries()));
        nextPiece++;
        receivedAt = now;
        return true;
    }

    /** Returns whether all pieces were received. */
    boolean isComplete() {
        return nextPiece == pieces;
    }

    /** Returns the received entries by the number of their key range. */
    Map<Integer, List<Entry>> ranges() {
        return ranges;
    }

    /** Returns the request for the next piece. */
    ReplicationMessage.RepairPieceRequest nextRequest(final long view, final Replica self) {
        return new ReplicationMessage.RepairPieceRequest(view, self, sequence, nextPiece);
    }

    /** Returns the address of the replica that sends the pieces. */
    String source() {
        return source;
    }

    /** Returns when the last piece was received, in microseconds. */
    long receivedAt() {
        return receivedAt;
    }
}
