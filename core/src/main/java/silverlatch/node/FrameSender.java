package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import silverlatch.clock.ClockReading;
import silverlatch.membership.Membership;
import silverlatch.wire.Frame;

/** Stamps outgoing messages, and queues them in order while the process clock overflows. */
final class FrameSender {
    private final NodeClock clock;
    private final Membership membership;
    private final LongSupplier fleet;
    private final ClockWaitQueue<Effect.Send> waiting = new ClockWaitQueue<>();
    private final List<OutgoingFrame> frames = new ArrayList<>();

    /**
     * Creates a sender.
     *
     * @param fleet supplies the number of this node's fleet, 0 before it is known
     */
    FrameSender(final NodeClock clock, final Membership membership, final LongSupplier fleet) {
        this.clock = clock;
        this.membership = membership;
        this.fleet = fleet;
    }

    /** Stamps a message, at once or as soon as the clock can. */
    void send(final Effect.Send message, final long now) {
        waiting.processOrAdd(message, m -> stamp(m, now), now);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Stamps the queued messages in order, up to the first that the clock can't stamp yet. */
    void retry(final long now) {
        waiting.process(m -> stamp(m, now));
    }

    /** Removes the queued messages that have waited for too long. Returns their number. */
    int removeExpired(final long now) {
        return waiting.removeExpired(now);
    }

    /** Discards the queued messages; the stamped frames stay. */
    void clear() {
        waiting.clear();
    }

    /** Returns the stamped frames to send, and removes them. */
    List<OutgoingFrame> drain() {
        final List<OutgoingFrame> drained = List.copyOf(frames);
        frames.clear();
        return drained;
    }

    /** Returns false if the message has to wait for the clock. */
    private boolean stamp(final Effect.Send message, final long now) {
        final ClockReading reading = clock.processClock().send(clock.physicalTime(now));
        if (!(reading instanceof ClockReading.Stamped stamped)) {
            return false;
        }
        final Frame frame = new Frame(
                stamped.stamp(),
                fleet.getAsLong(),
                membership.self().id(),
                membership.self().address(),
                membership.self().incarnation(),
                message.message());
        frames.add(new OutgoingFrame(message.to(), frame));
        return true;
    }
}
