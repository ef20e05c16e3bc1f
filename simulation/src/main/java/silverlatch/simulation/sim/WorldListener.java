package silverlatch.simulation.sim;

import silverlatch.dispatch.DispatchEffect;
import silverlatch.node.Effect;
import silverlatch.node.OutgoingFrame;

/**
 * Receives the frames and effects of all processes of a simulated day, in order and on the thread that runs the day. Must not
 * change the world. Times are true time in microseconds since the day began.
 */
interface WorldListener {
    /** A listener that ignores everything. */
    WorldListener NONE = new WorldListener() {};

    /** Called when a node sends a frame, which may still be lost. */
    default void frameSent(final long time, final String node, final OutgoingFrame frame) {}

    /** Called before an effect of a node is performed. */
    default void effect(final long time, final String node, final Effect effect) {}

    /** Called before an effect of a gateway's dispatcher is performed. */
    default void action(final long time, final String node, final DispatchEffect action) {}
}
