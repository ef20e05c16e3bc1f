package silverlatch.dispatch;

import java.util.Optional;

/**
 * The client's side of one response stream: at most one call reads it at a time. A reader is ready when the transport
 * can take more; it gets one write for each time that it becomes ready. Times in microseconds.
 */
final class StreamReader {
    private Optional<Long> callId;
    private Optional<Long> disconnectedAt = Optional.empty();
    private boolean ready = true;
    private int nextRecord;

    /** A reader from the first record on. */
    StreamReader(final long callId) {
        this.callId = Optional.of(callId);
    }

    /** The call that reads, if there is one. */
    Optional<Long> callId() {
        return callId;
    }

    /** Whether this call is the one that reads. */
    boolean isCall(final long other) {
        return callId.map(current -> current == other).orElse(false);
    }

    /** Another call reads from a record on. */
    void attach(final long newCallId, final int firstRecord) {
        callId = Optional.of(newCallId);
        disconnectedAt = Optional.empty();
        nextRecord = firstRecord;
        ready = true;
    }

    /** Nobody reads any more because the stream has ended or was refused. */
    void detach() {
        callId = Optional.empty();
    }

    /** The client's connection went away. */
    void disconnected(final long now) {
        callId = Optional.empty();
        disconnectedAt = Optional.of(now);
    }

    /** Whether the client has been gone for longer than the time. */
    boolean isAbsentLongerThan(final long time, final long now) {
        return disconnectedAt.map(at -> now - at > time).orElse(false);
    }

    /** The transport can take more. */
    void markReady() {
        ready = true;
    }

    /** Whether a call reads and its transport can take more. */
    boolean isReady() {
        return callId.isPresent() && ready;
    }

    /** Records up to and without this index were sent; the transport has to become ready before the next write. */
    void markSentUpTo(final int end) {
        nextRecord = end;
        ready = false;
    }

    /** How many records were sent, which is the index of the next one. */
    int nextRecord() {
        return nextRecord;
    }
}
