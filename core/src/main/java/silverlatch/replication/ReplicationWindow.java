package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The entries in flight from a member of the chain to its successor under one view: sent and not yet acknowledged. It limits the bytes in
 * flight, so that leases and votes on the same link aren't delayed behind large entries for longer than a lease lasts. Entries are resent
 * only after a backoff without progress, which doubles each time.
 */
final class ReplicationWindow {
    /** The maximum number of bytes in flight; a single larger entry is sent alone. */
    static final long LIMIT_BYTES = 128L << 10;

    private static final long INITIAL_BACKOFF_MICROS = 600_000L;
    private static final long MAX_BACKOFF_MICROS = 4_800_000L;
    private final Deque<InFlightEntry> inFlight = new ArrayDeque<>();
    private long inFlightBytes;
    private long sentSequence;
    private long acknowledgedSequence;
    private long progressAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /** Restarts after this sequence number, up to which the successor has all entries; later entries count as not sent. */
    void restart(final long sequence, final long now) {
        inFlight.clear();
        inFlightBytes = 0;
        sentSequence = sequence;
        acknowledgedSequence = sequence;
        progressAt = now;
    }

    /** Restarts after this sequence number under another view, with the initial backoff. */
    void reset(final long sequence, final long now) {
        restart(sequence, now);
        backoff = INITIAL_BACKOFF_MICROS;
    }

    /** Returns the newest sequence number that was sent. */
    long sentSequence() {
        return sentSequence;
    }

    /** Returns the newest sequence number that the successor has acknowledged. */
    long acknowledgedSequence() {
        return acknowledgedSequence;
    }

    /** Returns whether an entry may be sent now. */
    boolean admits(final LogEntry entry) {
        return inFlight.isEmpty() || inFlightBytes + entry.estimatedBytes() <= LIMIT_BYTES;
    }

    /** Records that an entry is sent. */
    void add(final LogEntry entry) {
        sentSequence = entry.sequence();
        inFlight.add(new InFlightEntry(entry.sequence(), entry.estimatedBytes()));
        inFlightBytes += entry.estimatedBytes();
    }

    /** Records that the successor has acknowledged all entries up to a sequence number. */
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

    /** Returns whether the backoff has passed without progress; if so, doubles the next backoff up to the maximum. */
    boolean isRetryDue(final long now) {
        if (now - progressAt < backoff) {
            return false;
        }
        backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
        return true;
    }

    private record InFlightEntry(long sequence, long bytes) {}
}
