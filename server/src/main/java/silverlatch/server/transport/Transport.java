package silverlatch.server.transport;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import silverlatch.node.Event;
import silverlatch.node.OutgoingFrame;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.Logs;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.CodecPool;
import silverlatch.wire.Frame;

/** Frames over TCP: one connection out to each address, and whoever connects in. A bad frame ends its connection only. */
public final class Transport {
    private static final int MAX_CONNECTIONS = 1024;
    private static final int SILENT = 30_000;
    static final int PART = 64 << 10;
    private static final long TOLD = 200_000L;
    private final String address;
    private final Consumer<Frame> sink;
    private final PeerConnection.Times times;
    private final CodecPool codecs = new CodecPool();
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Semaphore places = new Semaphore(MAX_CONNECTIONS);
    private final AtomicLong bad = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong connects = new AtomicLong();
    private volatile Optional<ServerSocket> server = Optional.empty();
    private volatile boolean over;

    /** A transport that hands what comes in to the sink. */
    public Transport(final String address, final Consumer<Frame> sink) {
        this(address, sink, PeerConnection.Times.PLAIN);
    }

    Transport(final String address, final Consumer<Frame> sink, final PeerConnection.Times times) {
        this.address = address;
        this.sink = sink;
        this.times = times;
    }

    /** Splits an address. */
    public static InetSocketAddress place(final String text) {
        final int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Binds and starts to listen. */
    public void start() throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(place(address), 256);
        this.server = Optional.of(server);
        Threads.startDaemon("transport", () -> listen(server));
    }

    /** Sends a frame on its way; what can't go is dropped and counted. */
    public void ship(final OutgoingFrame outgoing) {
        if (connections.size() >= MAX_CONNECTIONS && !connections.containsKey(outgoing.to())) {
            dropped.incrementAndGet();
            return;
        }
        connections.computeIfAbsent(outgoing.to(), this::connection).offer(outgoing.frame());
    }

    /** How many frames could not be read. */
    public long bad() {
        return bad.get();
    }

    /** How many frames could not be sent. */
    public long dropped() {
        return dropped.get();
    }

    /** How often a connection to another was made. */
    public long connects() {
        return connects.get();
    }

    /** Ends. */
    public void stop() {
        over = true;
        connections.values().forEach(PeerConnection::stop);
        server.ifPresent(s -> {
            try {
                s.close();
            } catch (final IOException e) {
                dropped.addAndGet(0);
            }
        });
    }

    private PeerConnection connection(final String to) {
        final PeerConnection connection = new PeerConnection(to, codecs, times, dropped, connects);
        connection.start();
        return connection;
    }

    private void listen(final ServerSocket server) {
        while (!over) {
            try {
                final Socket s = server.accept();
                if (places.tryAcquire()) {
                    TransportThreads.start("peer-reader", () -> read(s));
                } else {
                    s.close();
                }
            } catch (final IOException e) {
                dropped.incrementAndGet();
            }
        }
    }

    private void read(final Socket socket) {
        try (Socket s = socket;
                DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream(), 64 << 10))) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(SILENT);
            long told = EventLoop.now();
            PeerConnection.probe(s);
            while (!over) {
                final int size = in.readInt();
                if (size <= 0 || size > Codec.MAX_BYTES) {
                    bad(s, "a length of " + size);
                    return;
                }
                final byte[] bytes = whole(in, s.getOutputStream(), size);
                if (bytes.length < size) {
                    return;
                }
                switch (codecs.decode(bytes, Frame.class)) {
                    case Codec.DecodeResult.Decoded<Frame> good -> {
                        if (in.available() < Integer.BYTES || EventLoop.now() - told > TOLD) {
                            told = EventLoop.now();
                            s.getOutputStream().write(1);
                        }
                        sink.accept(good.value());
                    }
                    case Codec.DecodeResult.Malformed<Frame> wrong -> {
                        bad(s, wrong.reason());
                        return;
                    }
                }
            }
        } catch (final IOException e) {
            dropped.addAndGet(0);
        } finally {
            places.release();
        }
    }

    /** Reads a frame and acknowledges each part of a large one, so that its sender sees that it gets on. */
    private static byte[] whole(final DataInputStream in, final OutputStream back, final int size) throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream(Math.min(size, PART));
        while (all.size() < size) {
            final byte[] part = in.readNBytes(Math.min(PART, size - all.size()));
            if (part.length == 0) {
                break;
            }
            all.write(part);
            if (size > PART) {
                back.write(1);
            }
        }
        return all.toByteArray();
    }

    private void bad(final Socket s, final String why) {
        bad.incrementAndGet();
        Logs.write(Event.BAD_FRAME, s.getRemoteSocketAddress() + " " + why);
    }
}
