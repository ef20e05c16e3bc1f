package silverlatch.node;

import java.util.List;
import java.util.function.Consumer;
import silverlatch.clock.PauseDetector;
import silverlatch.wire.Frame;

/**
 * The frames that a node receives and sends, including those that wait for the process clock. Only the node's event loop
 * calls this class.
 */
final class FrameExchange {
    /** Frames that may have waited for longer are dropped, as the ages in them would be wrong by as much. */
    private static final long MAX_WAIT_MICROS = 10_000_000L;

    private final NodeClock clock;
    private final PauseDetector pauses;
    private final FrameReceiver receiver;
    private final FrameSender sender;
    private final Consumer<Effect> logs;
    private final NodeCounters counters;

    FrameExchange(
            final NodeClock clock,
            final PauseDetector pauses,
            final FrameReceiver receiver,
            final FrameSender sender,
            final Consumer<Effect> logs,
            final NodeCounters counters) {
        this.clock = clock;
        this.pauses = pauses;
        this.receiver = receiver;
        this.sender = sender;
        this.logs = logs;
        this.counters = counters;
    }

    /** Admits a frame, at once or as soon as the clock can stamp it; drops one that may have waited during a long pause. */
    void receive(final Frame frame, final long now) {
        if (pauses.possibleWait(now) <= MAX_WAIT_MICROS) {
            receiver.receive(frame, now);
        }
    }

    /** Returns whether an incoming or outgoing frame waits for the process clock. */
    boolean hasDelayed() {
        return !sender.isEmpty() || !receiver.isEmpty();
    }

    /** Admits and stamps the waiting frames that the clock can stamp now, and drops those that have waited for too long. */
    void retry(final long now) {
        receiver.retry(now);
        sender.retry(now);
        final int expired = receiver.removeExpired(now) + sender.removeExpired(now);
        for (int i = 0; i < expired; i++) {
            clock.processClock().recordDrop(now);
            counters.increment(NodeCounters.OVERFLOWS);
            logs.accept(new Effect.Log(
                    Event.OVERFLOW, "a message was dropped after the maximum wait for the process clock"));
        }
    }

    /** Discards the waiting frames. */
    void clear() {
        sender.clear();
        receiver.clear();
    }

    /** Returns the frames to send, and removes them. */
    List<OutgoingFrame> drain() {
        return sender.drain();
    }
}
