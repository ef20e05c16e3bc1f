package silverlatch.simulation.sim;

import silverlatch.clock.NtpTime;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.wire.Frame;

/**
 * Checks the stamps of one node. The stamp of each sent frame must be higher than those of all frames that the node sent before,
 * and of those that it received within the allowed clock skew. While some clock is off, the stamps of a node whose own clock is
 * right must stay near true time. Durations are microseconds.
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

    /** Resets the state when the node starts: frames of its earlier process no longer count. */
    void onStarted() {
        highestReceived = 0;
        highestSent = 0;
        clockResetAt = world.scheduler().now();
    }

    /** Observes a log event of the node; a rejoin resets its clock. */
    void onLogged(final Event event) {
        if (event == Event.REJOIN) {
            clockResetAt = world.scheduler().now();
        }
    }

    /** Checks the stamp of a frame that the node sends. */
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

    /** Records the stamp of a received frame unless the node may delay it or the stamp exceeds the allowed skew. */
    void onFrameReceived(final Frame frame, final Node node) {
        final long bits = frame.stamp().bits();
        if (!node.hasDelayedFrames() && isWithinSkew(bits, node)) {
            highestReceived = Math.max(highestReceived, bits);
        }
    }

    /** Returns whether a stamp is at most the allowed skew ahead of the node's physical clock. */
    private boolean isWithinSkew(final long bits, final Node node) {
        return bits - node.physicalClock().physicalTime(checked.now()) <= NtpTime.fromMicros(MAX_CLOCK_SKEW);
    }
}
