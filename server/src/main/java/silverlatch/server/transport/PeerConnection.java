package silverlatch.server.transport;

import java.io.BufferedOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketOption;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import jdk.net.ExtendedSocketOptions;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.wire.CodecPool;
import silverlatch.wire.Frame;
import silverlatch.wire.Message;

/**
 * Sends frames to one address over a connection that is opened when there is a frame to send and closed when it is idle. Delivery is not
 * guaranteed: frames that waited too long for a connection are dropped. The peer acknowledges frames with single bytes on the same
 * connection. If no acknowledgement arrives in time, the connection is closed, because a connection that hangs behind a network partition
 * can't be detected otherwise. A large frame extends that time by two seconds per megabyte.
 *
 * <p>{@link #offer} and {@link #stop} may be called from any thread; frames are sent on the connection's own thread.
 */
final class PeerConnection {
    private static final long INITIAL_BACKOFF_MICROS = 50_000L;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int INITIAL_QUEUE_CAPACITY = 16;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final long MICROS_PER_MS = 1_000;

    /** Extends the acknowledgement timeout for a large frame: two seconds per megabyte. */
    private static final long ACK_GRACE_MICROS_PER_BYTE = 2;

    private static final int KEEP_ALIVE_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;
    private final String address;
    private final CodecPool codecs;
    private final Limits limits;
    private final AtomicLong droppedFrames;
    private final AtomicLong connectionsMade;
    private final PriorityBlockingQueue<QueuedFrame> queue;
    private final AtomicLong lastSequence = new AtomicLong();
    private volatile Optional<Socket> openSocket = Optional.empty();
    private volatile long unacknowledgedSince = NEVER;
    private volatile boolean isWriting;
    private volatile long ackGraceUntil;
    private volatile boolean stopped;
    private long connectedAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /**
     * Limits of a connection. Times are in microseconds.
     *
     * @param maxQueued      how many frames may be queued
     * @param connectTimeout how long opening the connection may take
     * @param ackTimeout     after how long without an acknowledgement the connection is closed
     * @param maxQueueAge    how long a frame may wait for a connection before it is dropped
     * @param idleTimeout    after how long without a frame the connection is closed
     * @param maxBackoff     the longest pause after a failure
     */
    record Limits(
            int maxQueued, long connectTimeout, long ackTimeout, long maxQueueAge, long idleTimeout, long maxBackoff) {
        /** The limits in production. */
        static final Limits DEFAULTS = new Limits(256, 500_000L, 1_500_000L, 1_000_000L, 20_000_000L, 500_000L);
    }

    PeerConnection(
            final String address,
            final CodecPool codecs,
            final Limits limits,
            final AtomicLong droppedFrames,
            final AtomicLong connectionsMade) {
        this.address = address;
        this.codecs = codecs;
        this.limits = limits;
        this.droppedFrames = droppedFrames;
        this.connectionsMade = connectionsMade;
        this.queue = new PriorityBlockingQueue<>(
                INITIAL_QUEUE_CAPACITY,
                Comparator.comparing(QueuedFrame::isBulk).thenComparingLong(QueuedFrame::sequence));
    }

    /** Starts the thread that sends frames. */
    void start() {
        TransportThreads.start("peer-connection", this::run);
    }

    /** Queues a frame, or drops it if the queue is full; closes the connection if its acknowledgement is overdue. */
    void offer(final Frame frame) {
        final long now = EventLoop.nowMicros();
        if (now - limits.ackTimeout() > unacknowledgedSince && now > ackGraceUntil) {
            openSocket.filter(socket -> !readAcknowledgements(socket)).ifPresent(Transport::close);
        }
        if (queue.size() >= limits.maxQueued()) {
            droppedFrames.incrementAndGet();
            return;
        }
        queue.add(new QueuedFrame(frame, now, !Message.isUrgent(frame.body()), lastSequence.incrementAndGet()));
    }

    /** Closes the connection; no more frames are sent. */
    void stop() {
        stopped = true;
        openSocket.ifPresent(Transport::close);
    }

    private void run() {
        while (!stopped) {
            try {
                final QueuedFrame first = queue.take();
                connectedAt = EventLoop.nowMicros();
                if (dropIfStale(first)) {
                    continue;
                }
                try (Socket socket = new Socket()) {
                    send(socket, first);
                } finally {
                    openSocket = Optional.empty();
                    isWriting = false;
                    ackGraceUntil = 0;
                    unacknowledgedSince = NEVER;
                }
            } catch (final IOException | RuntimeException failure) {
                droppedFrames.incrementAndGet();
                backOff();
            } catch (final InterruptedException interrupted) {
                return;
            }
        }
    }

    private void send(final Socket socket, final QueuedFrame first) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        enableKeepAlive(socket);
        socket.connect(Transport.parseAddress(address), (int) (limits.connectTimeout() / MICROS_PER_MS));
        connectionsMade.incrementAndGet();
        connectedAt = EventLoop.nowMicros();
        openSocket = Optional.of(socket);
        final DataOutputStream out =
                new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
        Optional<QueuedFrame> next = Optional.of(first);
        while (!stopped && next.isPresent()) {
            if (!dropIfStale(next.get())) {
                write(socket, out, codecs.encode(next.get().frame()));
            }
            next = Optional.ofNullable(queue.poll(limits.idleTimeout(), TimeUnit.MICROSECONDS));
        }
    }

    private void write(final Socket socket, final DataOutputStream out, final byte[] bytes) throws IOException {
        readAcknowledgements(socket);
        if (unacknowledgedSince == NEVER) {
            unacknowledgedSince = EventLoop.nowMicros();
        }
        isWriting = true;
        ackGraceUntil = bytes.length > FrameReader.CHUNK_BYTES
                ? EventLoop.nowMicros() + limits.ackTimeout() + ACK_GRACE_MICROS_PER_BYTE * bytes.length
                : ackGraceUntil;
        out.writeInt(bytes.length);
        out.write(bytes);
        if (queue.isEmpty()) {
            out.flush();
        }
        isWriting = false;
    }

    /** Reads the acknowledgements that have arrived, without blocking; returns false if there is none or reading failed. */
    private synchronized boolean readAcknowledgements(final Socket socket) {
        try {
            final InputStream in = socket.getInputStream();
            final int available = in.available();
            if (available == 0) {
                return false;
            }
            in.skipNBytes(available);
            unacknowledgedSince = isWriting ? EventLoop.nowMicros() : NEVER;
            backoff = INITIAL_BACKOFF_MICROS;
            return true;
        } catch (final IOException failure) {
            return false;
        }
    }

    /** Drops a frame that waited too long for a connection. A frame queued behind a large one on an open connection isn't dropped. */
    private boolean dropIfStale(final QueuedFrame queued) {
        final boolean isStale =
                queued.queuedAt() < connectedAt && EventLoop.nowMicros() - queued.queuedAt() > limits.maxQueueAge();
        if (isStale) {
            droppedFrames.incrementAndGet();
        }
        return isStale;
    }

    private void backOff() {
        try {
            TimeUnit.MICROSECONDS.sleep(backoff);
        } catch (final InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        backoff = Math.min(limits.maxBackoff(), backoff * 2);
    }

    /** Makes the operating system probe an idle connection every second and close it after three seconds without a reply. */
    static void enableKeepAlive(final Socket socket) throws IOException {
        socket.setKeepAlive(true);
        final Map<SocketOption<Integer>, Integer> options = Map.of(
                ExtendedSocketOptions.TCP_KEEPIDLE,
                KEEP_ALIVE_SECONDS,
                ExtendedSocketOptions.TCP_KEEPINTERVAL,
                KEEP_ALIVE_SECONDS,
                ExtendedSocketOptions.TCP_KEEPCOUNT,
                KEEP_ALIVE_PROBES);
        for (final Map.Entry<SocketOption<Integer>, Integer> option : options.entrySet()) {
            if (socket.supportedOptions().contains(option.getKey())) {
                socket.setOption(option.getKey(), option.getValue());
            }
        }
    }

    /** A queued frame. Bulk frames are sent after all others; otherwise frames are sent in the order in which they were queued. */
    private record QueuedFrame(Frame frame, long queuedAt, boolean isBulk, long sequence) {}
}
