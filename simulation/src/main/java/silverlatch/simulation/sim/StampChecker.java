package silverlatch.simulation.sim;

import silverlatch.clock.NtpTime;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.wire.Frame;

/**
 * What the observer knows of one node's stamps: a frame sent must be above all that the node heard within bounds, and sent,
 * before; and while some clock is off, a node whose own clock is right must stay near true time.
 */
final class StampChecker {
    private static final long MAX_CLOCK_SKEW = 50_000L;
    private static final long MAX_CLOCK_LEAD = 80_000L;
    private static final long SETTLED_AFTER_RESET = 10_000_000L;
    private final World world;
    private final SimulatedNode checked;
    private long highestReceived;
    private long highestSent;
    private long incarnation;
    private long clockResetAt;

    StampChecker(final World world, final SimulatedNode checked) {
        this.world = world;
        this.checked = checked;
    }

    /** The node starts: nothing that it heard or sent before binds it. */
    void onStarted() {
        highestReceived = 0;
        highestSent = 0;
        clockResetAt = world.scheduler().now();
    }

    /** The node logs an event; a rejoin resets its clock. */
    void onLogged(final Event event) {
        if (event == Event.REJOIN) {
            clockResetAt = world.scheduler().now();
        }
    }

    /** The node sends a frame. */
    void onFrameSent(final Frame frame) {
        final long bits = frame.stamp().bits();
        world.observer().exercise(Invariant.STAMP_ORDER);
        if (frame.incarnation() != incarnation) {
            incarnation = frame.incarnation();
            highestSent = 0;
            highestReceived = checked.process()
                            .filter(node -> !isWithinSkew(highestReceived, node))
                            .isPresent()
                    ? 0
                    : highestReceived;
        }
        if (bits <= Math.max(highestSent, highestReceived)) {
            world.observer()
                    .violated(
                            Invariant.STAMP_ORDER,
                            checked.name() + " said " + bits + " after it heard " + highestReceived + " and said "
                                    + highestSent);
        }
        highestSent = Math.max(highestSent, bits);
        checkLead(bits);
    }

    private void checkLead(final long bits) {
        if (!world.disturbances().isClockSkewRecent()
                || checked.clock().isWallClockOff()
                || world.scheduler().now() - clockResetAt <= SETTLED_AFTER_RESET) {
            return;
        }
        world.observer().exercise(Invariant.CLOCK_NOT_DRAGGED);
        final long lead = NtpTime.toMicros(Math.max(0, bits - checked.clock().trueNtpTime()));
        if (lead > MAX_CLOCK_LEAD) {
            world.observer()
                    .violated(
                            Invariant.CLOCK_NOT_DRAGGED,
                            checked.name() + " is " + lead / 1000 + " ms ahead of true time");
        }
    }

    /** The node heard a frame. */
    void onFrameReceived(final Frame frame, final Node node) {
        final long bits = frame.stamp().bits();
        if (!node.hasDelayedFrames() && isWithinSkew(bits, node)) {
            highestReceived = Math.max(highestReceived, bits);
        }
    }

    /** Whether a stamp is one that the node may believe by its physical clock as it is now. */
    private boolean isWithinSkew(final long bits, final Node node) {
        return bits - node.physicalClock().physicalTime(checked.now()) <= NtpTime.fromMicros(MAX_CLOCK_SKEW);
    }
}
