package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The entries that a member has sent to its successor under one view and that aren't acknowledged yet. It bounds the bytes in flight, so
 * that leases and votes on the same link don't wait behind large entries for longer than a lease lasts, and has them sent again only
 * after a backoff without progress, which doubles each time.
 */
final class ReplicationWindow {
    /** How many bytes may be in flight; one entry may be larger. */
    static final long LIMIT_BYTES = 128L << 10;

    private static final long INITIAL_BACKOFF_MICROS = 600_000L;
    private static final long MAX_BACKOFF_MICROS = 4_800_000L;
    private final Deque<InFlightEntry> inFlight = new ArrayDeque<>();
    private long inFlightBytes;
    private long sentSequence;
    private long acknowledgedSequence;
    private long progressAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /** Sends again from the sequence after this one, which the successor has. */
    void restart(final long sequence, final long now) {
        inFlight.clear();
        inFlightBytes = 0;
        sentSequence = sequence;
        acknowledgedSequence = sequence;
        progressAt = now;
    }

    /** Begins under another view, with the first backoff. */
    void reset(final long sequence, final long now) {
        restart(sequence, now);
        backoff = INITIAL_BACKOFF_MICROS;
    }

    /** The newest sequence that was sent. */
    long sentSequence() {
        return sentSequence;
    }

    /** The newest sequence that the successor has acknowledged. */
    long acknowledgedSequence() {
        return acknowledgedSequence;
    }

    /** Whether an entry may be sent now. */
    boolean admits(final LogEntry entry) {
        return inFlight.isEmpty() || inFlightBytes + entry.estimatedBytes() <= LIMIT_BYTES;
    }

    /** An entry is sent. */
    void add(final LogEntry entry) {
        sentSequence = entry.sequence();
        inFlight.add(new InFlightEntry(entry.sequence(), entry.estimatedBytes()));
        inFlightBytes += entry.estimatedBytes();
    }

    /** The successor has acknowledged all entries up to a sequence. */
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

    /** Whether the backoff has passed without progress; where it has, the next one is twice as long. */
    boolean isRetryDue(final long now) {
        if (now - progressAt < backoff) {
            return false;
        }
        backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
        return true;
    }

    private record InFlightEntry(long sequence, long bytes) {}
}
