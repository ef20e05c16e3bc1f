package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import silverlatch.clock.ClockReading;
import silverlatch.membership.Membership;
import silverlatch.wire.Frame;

/** Stamps the messages that go out; keeps them waiting, in their order, while the clock overflows. */
final class FrameSender {
    private final NodeClock clock;
    private final Membership membership;
    private final LongSupplier fleet;
    private final ClockWaitQueue<Effect.Send> waiting = new ClockWaitQueue<>();
    private final List<OutgoingFrame> frames = new ArrayList<>();

    /**
     * Makes a sender.
     *
     * @param fleet the number of this node's fleet, 0 before it is known
     */
    FrameSender(final NodeClock clock, final Membership membership, final LongSupplier fleet) {
        this.clock = clock;
        this.membership = membership;
        this.fleet = fleet;
    }

    /** Stamps a message, now or once the clock can. */
    void send(final Effect.Send message, final long now) {
        waiting.processOrAdd(message, m -> stamp(m, now), now);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Stamps the messages that waited, as far as the clock can. */
    void retry(final long now) {
        waiting.process(m -> stamp(m, now));
    }

    /** Removes the messages that have waited for too long; returns how many. */
    int removeExpired(final long now) {
        return waiting.removeExpired(now);
    }

    /** Forgets the messages that wait; what is stamped stays. */
    void clear() {
        waiting.clear();
    }

    /** Returns the frames to be sent; each is handed out once. */
    List<OutgoingFrame> drain() {
        final List<OutgoingFrame> drained = List.copyOf(frames);
        frames.clear();
        return drained;
    }

    /** Returns false where the message has to wait. */
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
