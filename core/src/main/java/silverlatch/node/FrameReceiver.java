package silverlatch.node;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.wire.Frame;
import silverlatch.wire.Message;

/**
 * Admits received frames. Merges each frame's stamp into the process clock, rejects frames whose stamp is too far
 * ahead or that belong to another fleet, and queues frames in order while the clock overflows.
 */
final class FrameReceiver {
    private final NodeClock clock;
    private final LongSupplier fleet;
    private final FrameHandler handler;
    private final Consumer<Effect> replies;
    private final Consumer<Effect> logs;
    private final NodeCounters counters;
    private final ClockWaitQueue<Frame> waiting = new ClockWaitQueue<>();

    /** Processes the messages of admitted frames. */
    @FunctionalInterface
    interface FrameHandler {
        /**
         * Processes the message of a frame.
         *
         * @param sender the address of the sending node
         */
        void onMessage(Message message, String sender, long now);
    }

    /**
     * Creates a receiver.
     *
     * @param fleet   supplies the number of this node's fleet, 0 before it is known
     * @param replies consumes the replies to senders whose stamp was rejected
     * @param logs    consumes the log events
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

    /** Admits a frame, at once or as soon as the clock can stamp it. */
    void receive(final Frame frame, final long now) {
        waiting.processOrAdd(frame, f -> admit(f, now), now);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Admits the queued frames in order, up to the first that the clock can't stamp yet. */
    void retry(final long now) {
        waiting.process(f -> admit(f, now));
    }

    /** Removes the queued frames that have waited for too long. Returns their number. */
    int removeExpired(final long now) {
        return waiting.removeExpired(now);
    }

    /** Discards the queued frames. */
    void clear() {
        waiting.clear();
    }

    /** Returns false if the frame has to wait for the clock. */
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
        final String text =
                frame.from() + " sent a stamp that exceeds the clock skew bound by " + NtpTime.toMicros(excess) + " us";
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
