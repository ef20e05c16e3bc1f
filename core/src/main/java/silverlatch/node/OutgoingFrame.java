package silverlatch.node;

import silverlatch.wire.Frame;

/** A stamped frame on its way to an address. */
public record OutgoingFrame(String to, Frame frame) {}
