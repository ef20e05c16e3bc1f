package silverlatch.node;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.wire.Frame;
import silverlatch.wire.Message;

/**
 * Admits the frames that come in: merges each stamp into the process clock, rejects frames whose stamp is too far ahead or
 * that are of another fleet, and keeps frames waiting, in their order, while the clock overflows.
 */
final class FrameReceiver {
    private final NodeClock clock;
    private final LongSupplier fleet;
    private final FrameHandler handler;
    private final Consumer<Effect> replies;
    private final Consumer<Effect> logs;
    private final NodeCounters counters;
    private final ClockWaitQueue<Frame> waiting = new ClockWaitQueue<>();

    /** Takes the frames that were admitted. */
    @FunctionalInterface
    interface FrameHandler {
        /** Takes the message of a frame, sent by the node at an address. */
        void onMessage(Message message, String sender, long now);
    }

    /**
     * Makes a receiver.
     *
     * @param fleet   the number of this node's fleet, 0 before it is known
     * @param replies takes what is to be sent to senders whose stamp was rejected
     * @param logs    takes what is to be logged
     */
    FrameReceiver(
            final NodeClock clock,
            final LongSupplier fleet,
            final FrameHandler handler,
            final Consumer<Effect> replies,
            final Consumer<Effect> logs,
            final NodeCounters counters) {
        this.clock = clock;
        this.fleet = fleet;
        this.handler = handler;
        this.replies = replies;
        this.logs = logs;
        this.counters = counters;
    }

    /** Takes a frame, now or once the clock can. */
    void receive(final Frame frame, final long now) {
        waiting.processOrAdd(frame, f -> admit(f, now), now);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Takes the frames that waited, as far as the clock can. */
    void retry(final long now) {
        waiting.process(f -> admit(f, now));
    }

    /** Removes the frames that have waited for too long; returns how many. */
    int removeExpired(final long now) {
        return waiting.removeExpired(now);
    }

    /** Forgets the frames that wait. */
    void clear() {
        waiting.clear();
    }

    /** Returns false where the frame has to wait. */
    private boolean admit(final Frame frame, final long now) {
        final long physicalTime = clock.physicalTime(now);
        final ClockReading reading = clock.processClock().receive(frame.stamp(), physicalTime);
        if (reading instanceof ClockReading.Wait) {
            return false;
        }
        if (reading instanceof ClockReading.TooFarAhead far) {
            reject(frame, far.units(), now, physicalTime);
        } else {
            clock.recordPeerOffset(frame.replyTo(), 0, now);
            deliver(frame, now);
        }
        return true;
    }

    private void reject(final Frame frame, final long excess, final long now, final long physicalTime) {
        counters.increment(NodeCounters.FAR_STAMPS);
        clock.recordPeerOffset(frame.replyTo(), frame.stamp().bits() - physicalTime, now);
        final String text = frame.from() + " is ahead by " + NtpTime.toMicros(excess) + " us too many";
        logs.accept(new Effect.Log(Event.FAR_STAMP, text));
        if (!(frame.body() instanceof Message.StampRejected)) {
            replies.accept(new Effect.Send(frame.replyTo(), new Message.StampRejected(excess, physicalTime)));
        }
    }

    private void deliver(final Frame frame, final long now) {
        final long ownFleet = fleet.getAsLong();
        if (ownFleet != 0 && frame.fleet() != 0 && frame.fleet() != ownFleet) {
            counters.increment(NodeCounters.OTHER_FLEETS);
            logs.accept(new Effect.Log(Event.OTHER_FLEET, frame.from()));
            return;
        }
        counters.increment(NodeCounters.FRAMES);
        handler.onMessage(frame.body(), frame.replyTo(), now);
    }
}
