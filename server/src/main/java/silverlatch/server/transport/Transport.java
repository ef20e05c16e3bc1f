package silverlatch.server.transport;

import java.io.Closeable;
import java.io.IOException;
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
import silverlatch.util.Threads;
import silverlatch.wire.CodecPool;
import silverlatch.wire.Frame;

/**
 * Sends and receives frames over TCP, with one outgoing connection per address and any number of incoming ones up to a limit. Frames may
 * be lost. A malformed frame closes only its own connection. Callable from any thread; received frames are passed to the sink on the
 * thread of the connection's reader.
 */
public final class Transport {
    /** Limit on the number of outgoing connections, and on that of incoming ones. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int ACCEPT_BACKLOG = 256;
    private final String address;
    private final Consumer<Frame> sink;
    private final PeerConnection.Limits limits;
    private final CodecPool codecs = new CodecPool();
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Semaphore readerSlots = new Semaphore(MAX_CONNECTIONS);
    private final AtomicLong malformedFrames = new AtomicLong();
    private final AtomicLong droppedFrames = new AtomicLong();
    private final AtomicLong connectionsMade = new AtomicLong();
    private volatile Optional<ServerSocket> server = Optional.empty();
    private volatile boolean stopped;

    /** Creates a transport that listens at IP:PORT once it is started and passes received frames to the sink. */
    public Transport(final String address, final Consumer<Frame> sink) {
        this(address, sink, PeerConnection.Limits.DEFAULTS);
    }

    Transport(final String address, final Consumer<Frame> sink, final PeerConnection.Limits limits) {
        this.address = address;
        this.sink = sink;
        this.limits = limits;
    }

    /** Parses a socket address from IP:PORT. */
    public static InetSocketAddress parseAddress(final String text) {
        final int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Binds the address and starts the thread that accepts connections.
     *
     * @throws IOException if the address can't be bound
     */
    public void start() throws IOException {
        final ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(parseAddress(address), ACCEPT_BACKLOG);
        this.server = Optional.of(listener);
        Threads.startDaemon("transport-acceptor", () -> accept(listener));
    }

    /** Queues a frame for its address; a frame that can't be sent is dropped and counted. Doesn't block. */
    public void send(final OutgoingFrame outgoing) {
        if (connections.size() >= MAX_CONNECTIONS && !connections.containsKey(outgoing.to())) {
            droppedFrames.incrementAndGet();
            return;
        }
        connections.computeIfAbsent(outgoing.to(), this::createConnection).offer(outgoing.frame());
    }

    /** Returns how many received frames were malformed. */
    public long malformedFrames() {
        return malformedFrames.get();
    }

    /** Returns the sum of frames that could not be sent and connections that could not be opened or accepted. */
    public long droppedFrames() {
        return droppedFrames.get();
    }

    /** Returns how many connections to other processes were opened. */
    public long connectionsMade() {
        return connectionsMade.get();
    }

    /** Closes all outgoing connections and the listening socket; incoming connections end with their next frame or timeout. */
    public void stop() {
        stopped = true;
        connections.values().forEach(PeerConnection::stop);
        server.ifPresent(Transport::close);
    }

    private PeerConnection createConnection(final String peerAddress) {
        final PeerConnection connection =
                new PeerConnection(peerAddress, codecs, limits, droppedFrames, connectionsMade);
        connection.start();
        return connection;
    }

    private void accept(final ServerSocket listener) {
        while (!stopped) {
            try {
                final Socket socket = listener.accept();
                if (readerSlots.tryAcquire()) {
                    TransportThreads.start("peer-reader", () -> read(socket));
                } else {
                    socket.close();
                }
            } catch (final IOException failure) {
                droppedFrames.incrementAndGet();
            }
        }
    }

    private void read(final Socket socket) {
        try {
            new FrameReader(socket, codecs, sink, () -> stopped).run();
        } catch (final MalformedFrameException failure) {
            malformedFrames.incrementAndGet();
            EventLog.write(Event.BAD_FRAME, socket.getRemoteSocketAddress() + " " + failure.getMessage());
        } catch (final IOException failure) {
            // The sender counts the frames that were lost with the connection, and reconnects.
        } finally {
            readerSlots.release();
        }
    }

    /** Closes a socket and ignores failures. */
    static void close(final Closeable closeable) {
        try {
            closeable.close();
        } catch (final IOException failure) {
            // The socket isn't used any more in any case.
        }
    }
}
