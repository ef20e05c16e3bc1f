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
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.CodecPool;
import silverlatch.wire.Frame;

/** Frames over TCP: one connection out to each address, and whoever connects in. A bad frame ends its connection only. */
public final class Transport {
    private static final int MAX_CONNECTIONS = 1024;
    private static final int READ_TIMEOUT_MS = 30_000;
    static final int CHUNK_BYTES = 64 << 10;
    private static final long ACK_INTERVAL_MICROS = 200_000L;
    private final String address;
    private final Consumer<Frame> sink;
    private final PeerConnection.Limits limits;
    private final CodecPool codecs = new CodecPool();
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Semaphore readerSlots = new Semaphore(MAX_CONNECTIONS);
    private final AtomicLong bad = new AtomicLong();
    private final AtomicLong droppedFrames = new AtomicLong();
    private final AtomicLong connectionsMade = new AtomicLong();
    private volatile Optional<ServerSocket> server = Optional.empty();
    private volatile boolean stopped;

    /** A transport that hands what comes in to the sink. */
    public Transport(final String address, final Consumer<Frame> sink) {
        this(address, sink, PeerConnection.Limits.DEFAULTS);
    }

    Transport(final String address, final Consumer<Frame> sink, final PeerConnection.Limits limits) {
        this.address = address;
        this.sink = sink;
        this.limits = limits;
    }

    /** Splits an address. */
    public static InetSocketAddress parseAddress(final String text) {
        final int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Binds and starts to listen. */
    public void start() throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(parseAddress(address), 256);
        this.server = Optional.of(server);
        Threads.startDaemon("transport", () -> listen(server));
    }

    /** Sends a frame on its way; what can't go is dropped and counted. */
    public void send(final OutgoingFrame outgoing) {
        if (connections.size() >= MAX_CONNECTIONS && !connections.containsKey(outgoing.to())) {
            droppedFrames.incrementAndGet();
            return;
        }
        connections.computeIfAbsent(outgoing.to(), this::connection).offer(outgoing.frame());
    }

    /** How many frames could not be read. */
    public long bad() {
        return bad.get();
    }

    /** How many frames could not be sent. */
    public long droppedFrames() {
        return droppedFrames.get();
    }

    /** How often a connection to another was made. */
    public long connectionsMade() {
        return connectionsMade.get();
    }

    /** Ends. */
    public void stop() {
        stopped = true;
        connections.values().forEach(PeerConnection::stop);
        server.ifPresent(s -> {
            try {
                s.close();
            } catch (final IOException e) {
                droppedFrames.addAndGet(0);
            }
        });
    }

    private PeerConnection connection(final String peerAddress) {
        final PeerConnection connection =
                new PeerConnection(peerAddress, codecs, limits, droppedFrames, connectionsMade);
        connection.start();
        return connection;
    }

    private void listen(final ServerSocket server) {
        while (!stopped) {
            try {
                final Socket socket = server.accept();
                if (readerSlots.tryAcquire()) {
                    TransportThreads.start("peer-reader", () -> read(socket));
                } else {
                    socket.close();
                }
            } catch (final IOException e) {
                droppedFrames.incrementAndGet();
            }
        }
    }

    private void read(final Socket accepted) {
        try (Socket socket = accepted;
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 << 10))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            long acknowledgedAt = EventLoop.nowMicros();
            PeerConnection.enableKeepAlive(socket);
            while (!stopped) {
                final int size = in.readInt();
                if (size <= 0 || size > Codec.MAX_BYTES) {
                    bad(socket, "a length of " + size);
                    return;
                }
                final byte[] bytes = readFrame(in, socket.getOutputStream(), size);
                if (bytes.length < size) {
                    return;
                }
                switch (codecs.decode(bytes, Frame.class)) {
                    case Codec.DecodeResult.Decoded<Frame> good -> {
                        if (in.available() < Integer.BYTES
                                || EventLoop.nowMicros() - acknowledgedAt > ACK_INTERVAL_MICROS) {
                            acknowledgedAt = EventLoop.nowMicros();
                            socket.getOutputStream().write(1);
                        }
                        sink.accept(good.value());
                    }
                    case Codec.DecodeResult.Malformed<Frame> wrong -> {
                        bad(socket, wrong.reason());
                        return;
                    }
                }
            }
        } catch (final IOException e) {
            droppedFrames.addAndGet(0);
        } finally {
            readerSlots.release();
        }
    }

    /** Reads a frame and acknowledges each part of a large one, so that its sender sees that it gets on. */
    private static byte[] readFrame(final DataInputStream in, final OutputStream acknowledgements, final int size)
            throws IOException {
        final ByteArrayOutputStream frame = new ByteArrayOutputStream(Math.min(size, CHUNK_BYTES));
        while (frame.size() < size) {
            final byte[] chunk = in.readNBytes(Math.min(CHUNK_BYTES, size - frame.size()));
            if (chunk.length == 0) {
                break;
            }
            frame.write(chunk);
            if (size > CHUNK_BYTES) {
                acknowledgements.write(1);
            }
        }
        return frame.toByteArray();
    }

    private void bad(final Socket socket, final String why) {
        bad.incrementAndGet();
        EventLog.write(Event.BAD_FRAME, socket.getRemoteSocketAddress() + " " + why);
    }
}
