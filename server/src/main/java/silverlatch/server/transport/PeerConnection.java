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
 * Frames to one address. Nothing here is promised: what waited too long for a connection is dropped. The peer acknowledges what it read
 * by a byte on the same connection; one that is not acknowledged in time is dropped, for behind a cut nothing tells
 * that it hangs. A large frame gets time for its reader: two seconds a megabyte.
 */
final class PeerConnection {
    private static final long INITIAL_BACKOFF_MICROS = 50_000L;
    private static final long NEVER = Long.MAX_VALUE;
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
    private volatile long graceUntil;
    private volatile boolean stopped;
    private long connectedAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /** How many frames may wait; all else in microseconds. */
    record Limits(
            int maxQueued, long connectTimeout, long ackTimeout, long maxQueueAge, long idleTimeout, long maxBackoff) {
        /** The times that hold when nothing is said. */
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
                16, Comparator.comparing(QueuedFrame::isBulk).thenComparingLong(QueuedFrame::sequence));
    }

    /** Starts to send. */
    void start() {
        TransportThreads.start("peer-connection", this::run);
    }

    /** Queues a frame, or drops it when the queue is full. */
    void offer(final Frame frame) {
        final long now = EventLoop.nowMicros();
        if (now - limits.ackTimeout() > unacknowledgedSince && now > graceUntil) {
            openSocket.filter(s -> !readAcknowledgements(s)).ifPresent(PeerConnection::close);
        }
        if (queue.size() >= limits.maxQueued()) {
            droppedFrames.incrementAndGet();
            return;
        }
        queue.add(new QueuedFrame(frame, now, !Message.urgent(frame.body()), lastSequence.incrementAndGet()));
    }

    /** Ends. */
    void stop() {
        stopped = true;
        openSocket.ifPresent(PeerConnection::close);
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
                    graceUntil = 0;
                    unacknowledgedSince = NEVER;
                }
            } catch (final IOException | RuntimeException e) {
                droppedFrames.incrementAndGet();
                backOff();
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void send(final Socket socket, final QueuedFrame first) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        enableKeepAlive(socket);
        socket.connect(Transport.parseAddress(address), (int) (limits.connectTimeout() / 1000));
        connectionsMade.incrementAndGet();
        connectedAt = EventLoop.nowMicros();
        openSocket = Optional.of(socket);
        final DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 16 << 10));
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
        graceUntil = bytes.length > Transport.CHUNK_BYTES
                ? EventLoop.nowMicros() + limits.ackTimeout() + 2L * bytes.length
                : graceUntil;
        out.writeInt(bytes.length);
        out.write(bytes);
        if (queue.isEmpty()) {
            out.flush();
        }
        isWriting = false;
    }

    /** Reads what the peer acknowledged, without waiting; whether there was any. */
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
        } catch (final IOException e) {
            return false;
        }
    }

    /** Whether a frame waited too long for a connection; behind a large frame on a connection that gets on, it may wait. */
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
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        backoff = Math.min(limits.maxBackoff(), backoff * 2);
    }

    /** Lets the system probe an idle connection each second and give it up after three. */
    static void enableKeepAlive(final Socket socket) throws IOException {
        socket.setKeepAlive(true);
        final Map<SocketOption<Integer>, Integer> options = Map.of(
                ExtendedSocketOptions.TCP_KEEPIDLE,
                1,
                ExtendedSocketOptions.TCP_KEEPINTERVAL,
                1,
                ExtendedSocketOptions.TCP_KEEPCOUNT,
                2);
        for (final Map.Entry<SocketOption<Integer>, Integer> option : options.entrySet()) {
            if (socket.supportedOptions().contains(option.getKey())) {
                socket.setOption(option.getKey(), option.getValue());
            }
        }
    }

    private static void close(final Socket socket) {
        try {
            socket.close();
        } catch (final IOException e) {
            Thread.yield();
        }
    }

    /** A frame that waits since a time; urgent ones go first, and otherwise those that came first. */
    private record QueuedFrame(Frame frame, long queuedAt, boolean isBulk, long sequence) {}
}
