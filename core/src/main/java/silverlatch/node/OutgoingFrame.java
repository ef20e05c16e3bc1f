package silverlatch.node;

import silverlatch.wire.Frame;

/**
 * A stamped frame on its way.
 *
 * @param to    host and port of the node that it goes to
 * @param frame the frame
 */
public record OutgoingFrame(String to, Frame frame) {}
