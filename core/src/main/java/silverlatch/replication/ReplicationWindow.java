package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a member has sent to its successor under one view and has no word of yet. It bounds what is under way, so that
 * leases and votes on the same link don't wait behind large entries for longer than a lease lasts, and it sends again
 * only after a pause without progress, which doubles each time.
 */
final class ReplicationWindow {
    /** How many bytes may be under way; one entry may be larger. */
    static final long LIMIT_BYTES = 128L << 10;

    private static final long FIRST_PAUSE = 600_000L;
    private static final long LONGEST_PAUSE = 4_800_000L;
    private final Deque<Sent> underWay = new ArrayDeque<>();
    private long bytesUnderWay;
    private long sent;
    private long received;
    private long progressAt;
    private long pause = FIRST_PAUSE;

    /** Begins after a sequence that the successor has. */
    void restart(final long sequence, final long now) {
        underWay.clear();
        bytesUnderWay = 0;
        sent = sequence;
        received = sequence;
        progressAt = now;
    }

    /** Begins under another view, where nothing was waited for yet. */
    void begin(final long sequence, final long now) {
        restart(sequence, now);
        pause = FIRST_PAUSE;
    }

    /** The newest sequence that was sent. */
    long sent() {
        return sent;
    }

    /** The newest sequence that the successor has said it has. */
    long received() {
        return received;
    }

    /** Whether an entry may be sent now. */
    boolean admits(final LogEntry entry) {
        return underWay.isEmpty() || bytesUnderWay + entry.weight() <= LIMIT_BYTES;
    }

    /** An entry goes out. */
    void add(final LogEntry entry) {
        sent = entry.sequence();
        underWay.add(new Sent(entry.sequence(), entry.weight()));
        bytesUnderWay += entry.weight();
    }

    /** The successor has all up to a sequence, or more was committed. */
    void progress(final long sequence, final long now) {
        if (sequence <= received) {
            return;
        }
        received = sequence;
        sent = Math.max(sent, sequence);
        progressAt = now;
        pause = FIRST_PAUSE;
        while (!underWay.isEmpty() && underWay.peek().sequence() <= sequence) {
            bytesUnderWay -= underWay.poll().bytes();
        }
    }

    /** Whether it is time to send again, as nothing has come on for a pause; the next pause is longer. */
    boolean due(final long now) {
        if (now - progressAt < pause) {
            return false;
        }
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
        return true;
    }

    private record Sent(long sequence, long bytes) {}
}
