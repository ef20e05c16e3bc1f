package silverlatch.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Processes the effects of a node's components in the order in which they arose: dispatches messages to this node itself,
 * stamps messages to other nodes, and passes on all other effects. Only the node's event loop calls this class.
 */
final class EffectProcessor {
    /** Limits the effects processed per call, in case two components respond to each other endlessly. */
    private static final int MAX_EFFECTS_PER_CALL = 10_000;

    private final String ownAddress;
    private final Supplier<List<Effect>> components;
    private final FrameReceiver.FrameHandler dispatcher;
    private final FrameSender sender;
    private final Consumer<Effect> others;
    private final Deque<Effect> pending = new ArrayDeque<>();

    /**
     * Creates a processor.
     *
     * @param components supplies the new effects of all components, and removes them there
     * @param dispatcher handles messages to this node itself
     * @param sender     stamps and sends messages to other nodes
     * @param others     consumes the effects that aren't messages
     */
    EffectProcessor(
            final String ownAddress,
            final Supplier<List<Effect>> components,
            final FrameReceiver.FrameHandler dispatcher,
            final FrameSender sender,
            final Consumer<Effect> others) {
        this.ownAddress = ownAddress;
        this.components = components;
        this.dispatcher = dispatcher;
        this.sender = sender;
        this.others = others;
    }

    /** Adds an effect, which the next call of {@link #process} processes. */
    void add(final Effect effect) {
        pending.add(effect);
    }

    /** Processes the pending effects, those of the components, and those that arise meanwhile. */
    void process(final long now) {
        int processed = 0;
        pending.addAll(components.get());
        while (!pending.isEmpty() && processed++ < MAX_EFFECTS_PER_CALL) {
            process(pending.poll(), now);
            pending.addAll(components.get());
        }
    }

    private void process(final Effect effect, final long now) {
        if (!(effect instanceof Effect.Send send)) {
            others.accept(effect);
        } else if (send.to().equals(ownAddress)) {
            dispatcher.onMessage(send.message(), send.to(), now);
        } else {
            sender.send(send, now);
        }
    }
}
