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

    private static final long INITIAL_BACKOFF_MICROS = 600_000L;
    private static final long MAX_BACKOFF_MICROS = 4_800_000L;
    private final Deque<InFlightEntry> inFlight = new ArrayDeque<>();
    private long inFlightBytes;
    private long sentSequence;
    private long acknowledgedSequence;
    private long progressAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /** Begins after a sequence that the successor has. */
    void restart(final long sequence, final long now) {
        inFlight.clear();
        inFlightBytes = 0;
        sentSequence = sequence;
        acknowledgedSequence = sequence;
        progressAt = now;
    }

    /** Begins under another view, where nothing was waited for yet. */
    void reset(final long sequence, final long now) {
        restart(sequence, now);
        backoff = INITIAL_BACKOFF_MICROS;
    }

    /** The newest sequence that was sent. */
    long sentSequence() {
        return sentSequence;
    }

    /** The newest sequence that the successor has said it has. */
    long acknowledgedSequence() {
        return acknowledgedSequence;
    }

    /** Whether an entry may be sent now. */
    boolean admits(final LogEntry entry) {
        return inFlight.isEmpty() || inFlightBytes + entry.estimatedBytes() <= LIMIT_BYTES;
    }

    /** An entry goes out. */
    void add(final LogEntry entry) {
        sentSequence = entry.sequence();
        inFlight.add(new InFlightEntry(entry.sequence(), entry.estimatedBytes()));
        inFlightBytes += entry.estimatedBytes();
    }

    /** The successor has all up to a sequence, or more was committed. */
    void acknowledge(final long sequence, final long now) {
        if (sequence <= acknowledgedSequence) {
            return;
        }
        acknowledgedSequence = sequence;
        sentSequence = Math.max(sentSequence, sequence);
        progressAt = now;
        backoff = INITIAL_BACKOFF_MICROS;
        while (!inFlight.isEmpty() && inFlight.peek().sequence() <= sequence) {
            inFlightBytes -= inFlight.poll().bytes();
        }
    }

    /** Whether it is time to send again, as nothing has come on for a pause; the next pause is longer. */
    boolean isRetryDue(final long now) {
        if (now - progressAt < backoff) {
            return false;
        }
        backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
        return true;
    }

    private record InFlightEntry(long sequence, long bytes) {}
}
