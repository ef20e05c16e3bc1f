package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import silverlatch.node.OutgoingFrame;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** Sends frames between nodes over the simulated network. One of 50 frames is encoded and decoded, which covers the codec. */
final class FrameTransport {
    private static final int REENCODE_ONE_IN = 50;
    private final World world;
    private final Codec codec = new Codec();
    private final Map<String, Frame> newestFrames = new HashMap<>();

    FrameTransport(final World world) {
        this.world = world;
    }

    /**
     * Sends a frame to the node at its address, if there is one; drops it if that node's process ends or restarts before
     * arrival.
     */
    void send(final SimulatedNode sender, final OutgoingFrame outgoing) {
        world.listener().frameSent(world.scheduler().now(), sender.name(), outgoing);
        sender.stampChecker().onFrameSent(outgoing.frame());
        world.nodeAt(outgoing.to()).ifPresent(receiver -> {
            final long receiverGeneration = receiver.generation();
            final Frame frame = world.scheduler().random().nextInt(REENCODE_ONE_IN) == 0
                    ? reencoded(outgoing.frame())
                    : outgoing.frame();
            world.network().sendFrame(sender.name(), receiver.name(), () -> {
                if (receiverGeneration == receiver.generation()) {
                    deliver(receiver, frame);
                }
            });
        });
    }

    private void deliver(final SimulatedNode receiver, final Frame frame) {
        if (Optional.ofNullable(newestFrames.get(receiver.name()))
                .map(newest -> newest.stamp().isBefore(frame.stamp()))
                .orElse(true)) {
            newestFrames.put(receiver.name(), frame);
        }
        receiver.frameReceived(frame);
    }

    /** Delivers copies of the frame with the highest stamp that a node received. */
    void replayNewestFrame(final SimulatedNode node, final int copies) {
        Optional.ofNullable(newestFrames.get(node.name())).ifPresent(frame -> {
            for (int i = 0; i < copies; i++) {
                node.frameReceived(frame);
            }
        });
    }

    private Frame reencoded(final Frame frame) {
        return codec.decode(codec.encode(frame), Frame.class) instanceof Codec.DecodeResult.Decoded<Frame> decoded
                ? decoded.value()
                : frame;
    }
}
