package silverlatch.simulation.sim;

import silverlatch.dispatch.DispatchEffect;
import silverlatch.node.Effect;
import silverlatch.node.OutgoingFrame;

/**
 * Is told of all that the processes of a simulated day do, in order and on the thread that runs the day. It changes
 * nothing. Times are true time in microseconds since the day began.
 */
interface WorldListener {
    /** A listener that ignores everything. */
    WorldListener NONE = new WorldListener() {};

    /** A node sends a frame; whether it arrives isn't known yet. */
    default void frameSent(final long time, final String node, final OutgoingFrame frame) {}

    /** The node's core asks for something to be done. */
    default void effect(final long time, final String node, final Effect effect) {}

    /** The gateway's dispatcher asks for something to be done. */
    default void action(final long time, final String node, final DispatchEffect action) {}
}
