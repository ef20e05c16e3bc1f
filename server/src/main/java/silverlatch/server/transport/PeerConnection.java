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
    private static final long FIRST = 50_000L;
    private static final long NEVER = Long.MAX_VALUE;
    private final String to;
    private final CodecPool codecs;
    private final Times times;
    private final AtomicLong dropped;
    private final AtomicLong connects;
    private final PriorityBlockingQueue<Waiting> queue;
    private final AtomicLong offered = new AtomicLong();
    private volatile Optional<Socket> open = Optional.empty();
    private volatile long unheard = NEVER;
    private volatile boolean writing;
    private volatile long grace;
    private volatile boolean over;
    private long made;
    private long pause = FIRST;

    /** How many frames may wait; all else in microseconds. */
    record Times(int queue, long connect, long silent, long stale, long idle, long pause) {
        /** The times that hold when nothing is said. */
        static final Times PLAIN = new Times(256, 500_000L, 1_500_000L, 1_000_000L, 20_000_000L, 500_000L);
    }

    PeerConnection(
            final String to,
            final CodecPool codecs,
            final Times times,
            final AtomicLong dropped,
            final AtomicLong connects) {
        this.to = to;
        this.codecs = codecs;
        this.times = times;
        this.dropped = dropped;
        this.connects = connects;
        this.queue = new PriorityBlockingQueue<>(
                16, Comparator.comparing(Waiting::bulk).thenComparingLong(Waiting::turn));
    }

    /** Starts to send. */
    void start() {
        TransportThreads.start("peer-connection", this::run);
    }

    /** Queues a frame, or drops it when the queue is full. */
    void offer(final Frame f) {
        final long now = EventLoop.now();
        if (now - times.silent() > unheard && now > grace) {
            open.filter(s -> !heard(s)).ifPresent(PeerConnection::close);
        }
        if (queue.size() >= times.queue()) {
            dropped.incrementAndGet();
            return;
        }
        queue.add(new Waiting(f, now, !Message.urgent(f.body()), offered.incrementAndGet()));
    }

    /** Ends. */
    void stop() {
        over = true;
        open.ifPresent(PeerConnection::close);
    }

    private void run() {
        while (!over) {
            try {
                final Waiting first = queue.take();
                made = EventLoop.now();
                if (stale(first)) {
                    continue;
                }
                try (Socket s = new Socket()) {
                    send(s, first);
                } finally {
                    open = Optional.empty();
                    writing = false;
                    grace = 0;
                    unheard = NEVER;
                }
            } catch (final IOException | RuntimeException e) {
                dropped.incrementAndGet();
                rest();
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void send(final Socket s, final Waiting first) throws IOException, InterruptedException {
        s.setTcpNoDelay(true);
        probe(s);
        s.connect(Transport.place(to), (int) (times.connect() / 1000));
        connects.incrementAndGet();
        made = EventLoop.now();
        open = Optional.of(s);
        final DataOutputStream out = new DataOutputStream(new BufferedOutputStream(s.getOutputStream(), 16 << 10));
        Optional<Waiting> next = Optional.of(first);
        while (!over && next.isPresent()) {
            if (!stale(next.get())) {
                write(s, out, codecs.encode(next.get().frame()));
            }
            next = Optional.ofNullable(queue.poll(times.idle(), TimeUnit.MICROSECONDS));
        }
    }

    private void write(final Socket s, final DataOutputStream out, final byte[] bytes) throws IOException {
        heard(s);
        if (unheard == NEVER) {
            unheard = EventLoop.now();
        }
        writing = true;
        grace = bytes.length > Transport.PART ? EventLoop.now() + times.silent() + 2L * bytes.length : grace;
        out.writeInt(bytes.length);
        out.write(bytes);
        if (queue.isEmpty()) {
            out.flush();
        }
        writing = false;
    }

    /** Reads what the peer acknowledged, without waiting; whether there was any. */
    private synchronized boolean heard(final Socket s) {
        try {
            final InputStream in = s.getInputStream();
            final int count = in.available();
            if (count == 0) {
                return false;
            }
            in.skipNBytes(count);
            unheard = writing ? EventLoop.now() : NEVER;
            pause = FIRST;
            return true;
        } catch (final IOException e) {
            return false;
        }
    }

    /** Whether a frame waited too long for a connection; behind a large frame on a connection that gets on, it may wait. */
    private boolean stale(final Waiting w) {
        final boolean old = w.at() < made && EventLoop.now() - w.at() > times.stale();
        if (old) {
            dropped.incrementAndGet();
        }
        return old;
    }

    private void rest() {
        try {
            TimeUnit.MICROSECONDS.sleep(pause);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pause = Math.min(times.pause(), pause * 2);
    }

    /** Lets the system probe an idle connection each second and give it up after three. */
    static void probe(final Socket s) throws IOException {
        s.setKeepAlive(true);
        final Map<SocketOption<Integer>, Integer> wanted = Map.of(
                ExtendedSocketOptions.TCP_KEEPIDLE,
                1,
                ExtendedSocketOptions.TCP_KEEPINTERVAL,
                1,
                ExtendedSocketOptions.TCP_KEEPCOUNT,
                2);
        for (final Map.Entry<SocketOption<Integer>, Integer> e : wanted.entrySet()) {
            if (s.supportedOptions().contains(e.getKey())) {
                s.setOption(e.getKey(), e.getValue());
            }
        }
    }

    private static void close(final Socket s) {
        try {
            s.close();
        } catch (final IOException e) {
            Thread.yield();
        }
    }

    /** A frame that waits since a time; urgent ones go first, and otherwise those that came first. */
    private record Waiting(Frame frame, long at, boolean bulk, long turn) {}
}
