package silverlatch.server.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.membership.Member;
import silverlatch.node.OutgoingFrame;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.wire.Frame;
import silverlatch.wire.MembershipMessage;

/**
 * Transports on the loopback interface that send to each other or to peers scripted by the test, with shorter timeouts than in
 * production. Guards against connections that are kept although the peer doesn't read, connections that are closed although the peer
 * makes progress, stale frames that are sent after a reconnect, and frames that are dropped without being counted.
 */
final class TransportTest {
    private static final PeerConnection.Limits SHORT_LIMITS =
            new PeerConnection.Limits(256, 200_000L, 300_000L, 200_000L, 400_000L, 100_000L);
    private final List<AutoCloseable> openResources = new ArrayList<>();
    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws Exception {
        for (final AutoCloseable closeable : openResources) {
            closeable.close();
        }
    }

    private Transport startTransport(final int port) throws IOException {
        final Transport transport = new Transport("127.0.0.1:" + port, received::add, SHORT_LIMITS);
        transport.start();
        openResources.add(transport::stop);
        return transport;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static OutgoingFrame outgoing(final int port, final long number, final String pad) {
        final Member sender =
                new Member("p" + pad, "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", number, 4, "up", true);
        return new OutgoingFrame(
                "127.0.0.1:" + port,
                new Frame(new Stamp(number), 5, "p", "127.0.0.1:1", 3, new MembershipMessage.Heartbeat(sender)));
    }

    private ServerSocket listen(final int port, final BlockingQueue<Socket> accepted) throws IOException {
        final ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        openResources.add(server);
        TransportThreads.start("test", () -> {
            try {
                while (true) {
                    accepted.add(server.accept());
                }
            } catch (final IOException failure) {
                // The test closed the socket.
            }
        });
        return server;
    }

    @Test
    void oneWayTrafficKeepsUsingOneConnection() throws Exception {
        final int port = freePort();
        startTransport(port);
        final Transport sender = startTransport(freePort());
        for (int i = 1; i <= 12; i++) {
            sender.send(outgoing(port, i, ""));
            assertThat(received.poll(2, TimeUnit.SECONDS).stamp().bits(), is((long) i));
            LockSupport.parkNanos(100_000_000L);
        }
        assertThat(sender.droppedFrames(), is(0L));
        assertThat(sender.connectionsMade(), is(1L));
    }

    @Test
    void aConnectionToAPeerThatNeverReadsIsClosedAndReopened() throws Exception {
        final int port = freePort();
        final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
        listen(port, accepted);
        final Transport sender = startTransport(freePort());
        final long start = EventLoop.nowMicros();
        final String pad = "x".repeat(60_000);
        while (accepted.size() < 3 && EventLoop.nowMicros() - start < 5_000_000L) {
            sender.send(outgoing(port, 1, pad));
            LockSupport.parkNanos(5_000_000L);
        }
        assertThat(accepted.size(), greaterThanOrEqualTo(3));
        assertThat(EventLoop.nowMicros() - start, greaterThan(600_000L));
        assertThat(sender.droppedFrames(), greaterThan(0L));
    }

    @Test
    void afterAPeerRestartsOnlyRecentFramesArrive() throws Exception {
        final int port = freePort();
        final Transport sender = startTransport(freePort());
        for (int i = 1; i <= 20; i++) {
            sender.send(outgoing(port, i, ""));
            LockSupport.parkNanos(20_000_000L);
        }
        startTransport(port);
        final long restartedAt = EventLoop.nowMicros();
        long number = 20;
        while (received.isEmpty() && EventLoop.nowMicros() - restartedAt < 3_000_000L) {
            sender.send(outgoing(port, ++number, ""));
            LockSupport.parkNanos(20_000_000L);
        }
        final Frame first = received.poll(1, TimeUnit.SECONDS);
        assertThat(EventLoop.nowMicros() - restartedAt, lessThan(1_000_000L));
        assertThat(first.stamp().bits(), greaterThan(8L));
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        final int port = freePort();
        final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
        listen(port, accepted);
        final Transport sender = startTransport(freePort());
        sender.send(outgoing(port, 1, ""));
        try (Socket socket = accepted.poll(2, TimeUnit.SECONDS)) {
            socket.setSoTimeout(3_000);
            final DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt());
            socket.getOutputStream().write(1);
            assertThat(in.read(), is(-1));
        }
    }

    @Test
    void framesBeyondAFullQueueAreDroppedAndCounted() throws Exception {
        final int port = freePort();
        listen(port, new LinkedBlockingQueue<>());
        final Transport sender = startTransport(freePort());
        final String pad = "x".repeat(60_000);
        for (int i = 0; i < 800; i++) {
            sender.send(outgoing(port, 1, pad));
        }
        assertThat(sender.droppedFrames(), greaterThan(0L));
        assertThat(sender.droppedFrames(), lessThanOrEqualTo(800L));
    }

    @Test
    void aLargeFrameThatIsReadSlowlyKeepsItsConnectionAndTheFramesQueuedBehindIt() throws Exception {
        final int port = freePort();
        final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
        listen(port, accepted).setReceiveBufferSize(32 << 10);
        final Transport sender = startTransport(freePort());
        sender.send(outgoing(port, 1, "x".repeat(12 << 20)));
        try (Socket socket = accepted.poll(2, TimeUnit.SECONDS)) {
            final DataInputStream in = new DataInputStream(socket.getInputStream());
            final int size = in.readInt();
            final long start = EventLoop.nowMicros();
            for (int remaining = size; remaining > 0; ) {
                remaining -= in.readNBytes(Math.min(remaining, 256 << 10)).length;
                socket.getOutputStream().write(1);
                sender.send(outgoing(port, 2, ""));
                LockSupport.parkNanos(30_000_000L);
            }
            assertThat(EventLoop.nowMicros() - start, greaterThan(1_000_000L));
            in.readNBytes(in.readInt());
            assertThat(sender.connectionsMade(), is(1L));
            assertThat(sender.droppedFrames(), is(0L));
        }
    }
}
