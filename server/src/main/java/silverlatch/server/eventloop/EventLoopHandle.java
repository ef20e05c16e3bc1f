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
    private final Consumer<Node> after;
    private final EventLoop loop;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<Long, Consumer<Object>> asked = new ConcurrentHashMap<>();

    /** A bridge that beats each so many microseconds; the last argument is called after each beat. */
    public EventLoopHandle(
            final Node node,
            final long beat,
            final Consumer<OutgoingFrame> transport,
            final Consumer<Effect.Persist> logWriter,
            final Consumer<Node> after) {
        this.node = node;
        this.transport = transport;
        this.logWriter = logWriter;
        this.after = after;
        this.loop = new EventLoop("node", 16_384, beat, this::beat);
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
    public boolean with(final Consumer<Node> job) {
        return loop.post(() -> {
            job.accept(node);
            flush();
        });
    }

    /** Does something with the node on its event loop, and something else when all that came of it is on its way. */
    public boolean with(final Consumer<Node> job, final Runnable then) {
        return loop.post(() -> {
            job.accept(node);
            flush();
            then.run();
        });
    }

    /** Sends a command; the result comes back on the event loop before the span is over. False when the ring is full. */
    public boolean wish(final Command wish, final long span, final Consumer<Object> then) {
        final long token = tokens.incrementAndGet();
        final long end = EventLoop.now() + span;
        return with(d -> {
            asked.put(token, then);
            d.submit(wish, token, EventLoop.now(), end);
        });
    }

    /** Asks the tail; the page comes back on the event loop before the span is over. False when the ring is full. */
    public boolean read(final String start, final long span, final Consumer<Object> then) {
        final long token = tokens.incrementAndGet();
        final long end = EventLoop.now() + span;
        return with(d -> {
            asked.put(token, then);
            d.read(start, token, EventLoop.now(), end);
        });
    }

    /** The wall clock in nanoseconds. */
    public static long wall() {
        final java.time.Instant t = java.time.Instant.now();
        return t.getEpochSecond() * 1_000_000_000L + t.getNano();
    }

    private void beat() {
        node.tick(EventLoop.now(), wall());
        flush();
        after.accept(node);
    }

    private void flush() {
        node.drainFrames().forEach(transport);
        final List<Effect> list = node.drain();
        for (final Effect e : list) {
            switch (e) {
                case Effect.Respond a ->
                    java.util.Optional.ofNullable(asked.remove(a.token())).ifPresent(c -> c.accept(a.response()));
                case Effect.Log l -> Logs.write(l.event(), l.text());
                case Effect.Persist k -> logWriter.accept(k);
                case Effect.Send s -> throw new IllegalStateException("a send left the node unstamped");
            }
        }
        if (node.hasDelayedFrames()) {
            loop.post(() -> {
                java.util.concurrent.locks.LockSupport.parkNanos(200_000L);
                node.tick(EventLoop.now(), wall());
                flush();
            });
        }
    }
}
