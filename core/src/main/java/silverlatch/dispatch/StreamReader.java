package silverlatch.dispatch;

import java.util.Optional;

/**
 * The client's side of one response stream, which at most one call reads at a time. A reader is ready when its transport can
 * accept more; it gets one write each time it becomes ready. Times are in microseconds.
 */
final class StreamReader {
    private Optional<Long> callId;
    private Optional<Long> disconnectedAt = Optional.empty();
    private boolean ready = true;
    private int nextRecord;

    /** Creates a reader that starts with the first record. */
    StreamReader(final long callId) {
        this.callId = Optional.of(callId);
    }

    /** Returns the call that reads the response, if there is one. */
    Optional<Long> callId() {
        return callId;
    }

    /** Returns whether the given call reads the response. */
    boolean isCall(final long other) {
        return callId.map(current -> current == other).orElse(false);
    }

    /** Makes another call read the response from the given record on. */
    void attach(final long newCallId, final int firstRecord) {
        callId = Optional.of(newCallId);
        disconnectedAt = Optional.empty();
        nextRecord = firstRecord;
        ready = true;
    }

    /** Removes the call because the stream has ended or the request was rejected. */
    void detach() {
        callId = Optional.empty();
    }

    /** Records that the client's connection was lost. */
    void markDisconnected(final long now) {
        callId = Optional.empty();
        disconnectedAt = Optional.of(now);
    }

    /** Returns whether the client has been disconnected for longer than the given time. */
    boolean isAbsentLongerThan(final long time, final long now) {
        return disconnectedAt.map(at -> now - at > time).orElse(false);
    }

    /** Records that the transport can accept the next write. */
    void markReady() {
        ready = true;
    }

    /** Returns whether a call reads the response and its transport can accept the next write. */
    boolean isReady() {
        return callId.isPresent() && ready;
    }

    /** Records that all records before index {@code end} were sent; the reader isn't ready until its transport signals so. */
    void markSentUpTo(final int end) {
        nextRecord = end;
        ready = false;
    }

    /** Returns the index of the next record to send. */
    int nextRecord() {
        return nextRecord;
    }
}
