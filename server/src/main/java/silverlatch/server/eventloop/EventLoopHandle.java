package silverlatch.server.eventloop;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.node.OutgoingFrame;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * Runs a node on its event loop and performs the node's effects: frames are passed to the transport, records to the log writer, log
 * events to the log, and responses to the callbacks of pending calls. Methods may be called from any thread and don't block.
 */
public final class EventLoopHandle {
    private static final int QUEUE_CAPACITY = 16_384;

    /** Pause before the next attempt to process frames that are waiting for the process clock. */
    private static final long DELAYED_FRAMES_PAUSE_NANOS = 200_000L;

    /** Pause before a task that must not be lost is offered again to a full queue. */
    private static final long FULL_QUEUE_PAUSE_NANOS = 10_000_000L;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private final Node node;
    private final Consumer<OutgoingFrame> transport;
    private final Consumer<Effect.Persist> logWriter;
    private final Consumer<Node> afterTick;
    private final EventLoop loop;
    private final AtomicLong lastToken = new AtomicLong();
    private final Map<Long, Consumer<Object>> pendingReplies = new ConcurrentHashMap<>();
    private Optional<ReportStore> reportStore = Optional.empty();

    /**
     * Creates a handle with an event loop that isn't started yet.
     *
     * @param tickMicros the time from one tick of the node to the next
     * @param transport  sends a frame, without blocking
     * @param logWriter  queues records to be written to the log, without blocking
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

    /**
     * Restores the worker reports in a store to the node, and from then on saves the node's reports there. Must be called before
     * {@link #start()}.
     */
    public void openReportStore(final ReportStore store) {
        node.gossip().openReportStorage(store.read(), EventLoop.nowMicros());
        reportStore = Optional.of(store);
    }

    /** Starts the event loop. */
    public void start() {
        loop.start();
    }

    /** Returns the event loop. */
    public EventLoop eventLoop() {
        return loop;
    }

    /** Runs a task with the node on the event loop; returns false, without running it, if the loop's queue is full. */
    public boolean execute(final Consumer<Node> task) {
        return loop.post(() -> {
            task.accept(node);
            flush();
        });
    }

    /**
     * Runs a task with the node on the event loop, and then, once the task's effects were performed, another task. Returns false, without
     * running either, if the loop's queue is full.
     */
    public boolean execute(final Consumer<Node> task, final Runnable afterFlush) {
        return loop.post(() -> {
            task.accept(node);
            flush();
            afterFlush.run();
        });
    }

    /**
     * Submits a command. The callback gets the result at the latest when the timeout has passed. Once the caller has
     * left, nothing more is done for the command, and its result is unknown. A caller of a command without a revision of its own counts
     * as waiting since it connected. Returns false if the loop's queue is full; the callback is then never called.
     */
    public boolean submit(
            final Command command,
            final long timeoutMicros,
            final Caller caller,
            final Consumer<CommandResult> onResult) {
        final long waited = Command.Revisioned.isOnLatest(command) ? caller.possibleWaitMicros() : 0;
        if (waited >= timeoutMicros) {
            EventLog.write(Event.COMMAND_DROPPED, command.id() + ": its caller may have waited for " + waited + " us");
            onResult.accept(new CommandResult.Unknown(command.id()));
            return true;
        }
        final long token = lastToken.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros - waited;
        final boolean isPosted = execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((CommandResult) response));
            target.submit(command, token, EventLoop.nowMicros(), deadline);
        });
        if (isPosted) {
            caller.onLeft(() -> execute(target -> target.cancel(token, EventLoop.nowMicros())));
        }
        return isPosted;
    }

    /**
     * Reads the entries with a key prefix from the chain's tail. The callback gets the result on the event loop, at the latest when the
     * timeout has passed. Returns false if the loop's queue is full; the callback is then never called.
     */
    public boolean read(
            final String keyPrefix, final long timeoutMicros, final Consumer<ChainClient.ReadResult> onResult) {
        final long token = lastToken.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((ChainClient.ReadResult) response));
            target.read(keyPrefix, token, EventLoop.nowMicros(), deadline);
        });
    }

    /**
     * Queries whether a majority of the controllers holds the newest report on a worker. The callback gets the result on the event loop,
     * at the latest when the timeout has passed. Returns false if the loop's queue is full; the callback is then never called.
     */
    public boolean confirmReport(final String workerId, final long timeoutMicros, final Consumer<Boolean> onResult) {
        final long token = lastToken.incrementAndGet();
        final long deadline = EventLoop.nowMicros() + timeoutMicros;
        return execute(target -> {
            pendingReplies.put(token, response -> onResult.accept((Boolean) response));
            target.confirmReport(workerId, token, EventLoop.nowMicros(), deadline);
        });
    }

    /** Returns the wall clock in nanoseconds since the Unix epoch. */
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
            case Effect.SaveReports save -> reportStore.ifPresent(store -> saveReports(store, save));
            case Effect.Send send ->
                throw new IllegalStateException("the node returned a message to send that wasn't stamped as a frame");
        }
    }

    /** The node has at most one write in progress, so the store takes this one. */
    private void saveReports(final ReportStore store, final Effect.SaveReports save) {
        store.save(
                save.reports(),
                () -> executeOnceFree(node -> node.onReportsSaved(save.token(), EventLoop.nowMicros())));
    }

    /** Runs a task like {@link #execute(Consumer)}; where the loop's queue is full, blocks the caller until it takes the task. */
    private void executeOnceFree(final Consumer<Node> task) {
        while (!execute(task)) {
            LockSupport.parkNanos(FULL_QUEUE_PAUSE_NANOS);
        }
    }

    private void retryDelayedFrames() {
        LockSupport.parkNanos(DELAYED_FRAMES_PAUSE_NANOS);
        node.tick(EventLoop.nowMicros(), wallClockNanos());
        flush();
    }
}
