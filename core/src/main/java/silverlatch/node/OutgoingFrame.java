package silverlatch.node;

import silverlatch.wire.Frame;

/**
 * A stamped frame to send.
 *
 * @param to host and port of the receiving node
 * @param frame the frame
 */
public record OutgoingFrame(String to, Frame frame) {}
