package silverlatch.server.eventloop;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.node.OutgoingFrame;
import silverlatch.state.Command;

/** Runs a node on its event loop and carries out its effects. */
public final class EventLoopHandle {
    private final Node node;
    private final Consumer<OutgoingFrame> transport;
    private final Consumer<Effect.Persist> logWriter;
    private final Consumer<Node> afterTick;
    private final EventLoop loop;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<Long, Consumer<Object>> pendingReplies = new ConcurrentHashMap<>();

    /** A bridge that beats each so many microseconds; the last argument is called after each beat. */
    public EventLoopHandle(
            final Node node,
            final long tickMicros,
            final Consumer<OutgoingFrame> transport,
            final Consumer<Effect.Persist> logWriter,
            final Consumer<Node> afterTick) {
        this.node = node;
        this.transport = transport;
        this.logWriter = logWriter;
        this.afterTick = afterTick;
        this.loop = new EventLoop("node", 16_384, tickMicros, this::tick);
    }

    /** Starts the event loop. */
    public void start() {
        loop.start();
    }

    /** The event loop. */
    public EventLoop eventLoop() {
        return loop;
    }

    /** Does something with the node on its event loop; false when the ring is full. */
    public boolean execute(final Consumer<Node> task) {
        return loop.post(() -> {
            task.accept(node);
            flush();
        });
    }

    /** Does something with the node on its event loop, and something else when all that came of it is on its way. */
    public boolean execute(final Consumer<Node> task, final Runnable afterFlush) {
        return loop.post(() -> {
            task.accept(node);
            flush();
            afterFlush.run();
        });
    }

    /** Sends a command; the result comes back on the event loop before the span is over. False when the ring is full. */
    public boolean submit(final Command command, final long timeoutMicros, final Consumer<Object> onResult) {
        final long token = tokens.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(d -> {
            pendingReplies.put(token, onResult);
            d.submit(command, token, EventLoop.nowMicros(), deadline);
        });
    }

    /** Asks the tail; the page comes back on the event loop before the span is over. False when the ring is full. */
    public boolean read(final String keyPrefix, final long timeoutMicros, final Consumer<Object> onPage) {
        final long token = tokens.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(d -> {
            pendingReplies.put(token, onPage);
            d.read(keyPrefix, token, EventLoop.nowMicros(), deadline);
        });
    }

    /** The wall clock in nanoseconds. */
    public static long wallClockNanos() {
        final java.time.Instant instant = java.time.Instant.now();
        return instant.getEpochSecond() * 1_000_000_000L + instant.getNano();
    }

    private void tick() {
        node.tick(EventLoop.nowMicros(), wallClockNanos());
        flush();
        afterTick.accept(node);
    }

    private void flush() {
        node.drainFrames().forEach(transport);
        final List<Effect> effects = node.drain();
        for (final Effect effect : effects) {
            switch (effect) {
                case Effect.Respond a ->
                    java.util.Optional.ofNullable(pendingReplies.remove(a.token()))
                            .ifPresent(c -> c.accept(a.response()));
                case Effect.Log l -> EventLog.write(l.event(), l.text());
                case Effect.Persist k -> logWriter.accept(k);
                case Effect.Send s -> throw new IllegalStateException("a send left the node unstamped");
            }
        }
        if (node.hasDelayedFrames()) {
            loop.post(() -> {
                java.util.concurrent.locks.LockSupport.parkNanos(200_000L);
                node.tick(EventLoop.nowMicros(), wallClockNanos());
                flush();
            });
        }
    }
}
