package silverlatch.server.eventloop;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.node.OutgoingFrame;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * Runs a node on its event loop and performs the node's effects: frames go to the transport, records to the log writer, log
 * lines to the log, and responses to whoever asked. Its methods may be called from any thread unless they say otherwise; they don't block.
 */
public final class EventLoopHandle {
    private static final int QUEUE_CAPACITY = 16_384;

    /** How long frames that wait for the clock are delayed before the next attempt. */
    private static final long DELAYED_FRAMES_PAUSE_NANOS = 200_000L;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private final Node node;
    private final Consumer<OutgoingFrame> transport;
    private final Consumer<Effect.Persist> logWriter;
    private final Consumer<Node> afterTick;
    private final EventLoop loop;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<Long, Consumer<Object>> pendingReplies = new ConcurrentHashMap<>();

    /**
     * A handle on an event loop that isn't started yet.
     *
     * @param tickMicros the time from one tick of the node to the next
     * @param transport  sends a frame, without blocking
     * @param logWriter  writes records, without blocking
     * @param afterTick  is called on the event loop after each tick
     */
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
        this.loop = new EventLoop("node", QUEUE_CAPACITY, tickMicros, this::tick);
    }

    /** Starts the event loop. */
    public void start() {
        loop.start();
    }

    /** The event loop. */
    public EventLoop eventLoop() {
        return loop;
    }

    /** Runs a task with the node on the event loop; false where the loop's queue is full. */
    public boolean execute(final Consumer<Node> task) {
        return loop.post(() -> {
            task.accept(node);
            flush();
        });
    }

    /** The same, and then another task on the event loop once the effects of the first were handed over. */
    public boolean execute(final Consumer<Node> task, final Runnable afterFlush) {
        return loop.post(() -> {
            task.accept(node);
            flush();
            afterFlush.run();
        });
    }

    /**
     * Submits a command. Its result comes on the event loop before the timeout is over; false, and none comes, where
     * the loop's queue is full.
     */
    public boolean submit(final Command command, final long timeoutMicros, final Consumer<CommandResult> onResult) {
        final long token = tokens.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((CommandResult) response));
            target.submit(command, token, EventLoop.nowMicros(), deadline);
        });
    }

    /**
     * Reads the entries under a key prefix at the chain's tail. The result comes on the event loop before the
     * timeout is over; false, and none comes, where the loop's queue is full.
     */
    public boolean read(
            final String keyPrefix, final long timeoutMicros, final Consumer<ChainClient.ReadResult> onResult) {
        final long token = tokens.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((ChainClient.ReadResult) response));
            target.read(keyPrefix, token, EventLoop.nowMicros(), deadline);
        });
    }

    /**
     * Asks whether a majority of the controllers holds the newest report on a worker. The result comes on the event loop before the
     * timeout is over; false, and none comes, where the loop's queue is full.
     */
    public boolean confirmReport(final String workerId, final long timeoutMicros, final Consumer<Boolean> onResult) {
        final long token = tokens.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((Boolean) response));
            target.confirmReport(workerId, token, EventLoop.nowMicros(), deadline);
        });
    }

    /** The wall clock in nanoseconds since the Unix epoch. */
    public static long wallClockNanos() {
        final Instant instant = Instant.now();
        return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
    }

    private void tick() {
        node.tick(EventLoop.nowMicros(), wallClockNanos());
        flush();
        afterTick.accept(node);
    }

    private void flush() {
        node.drainFrames().forEach(transport);
        node.drain().forEach(this::perform);
        if (node.hasDelayedFrames()) {
            loop.post(this::retryDelayedFrames);
        }
    }

    private void perform(final Effect effect) {
        switch (effect) {
            case Effect.Respond respond ->
                Optional.ofNullable(pendingReplies.remove(respond.token()))
                        .ifPresent(pending -> pending.accept(respond.response()));
            case Effect.Log log -> EventLog.write(log.event(), log.text());
            case Effect.Persist persist -> logWriter.accept(persist);
            case Effect.Send send -> throw new IllegalStateException("a send left the node unstamped");
        }
    }

    private void retryDelayedFrames() {
        LockSupport.parkNanos(DELAYED_FRAMES_PAUSE_NANOS);
        node.tick(EventLoop.nowMicros(), wallClockNanos());
        flush();
    }
}
