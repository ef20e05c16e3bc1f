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
import silverlatch.wire.Message;

/** Docks on loopback before scripted peers, on shorter times than those in use. */
final class TransportTest {
    private static final PeerConnection.Times QUICK =
            new PeerConnection.Times(256, 200_000L, 300_000L, 200_000L, 400_000L, 100_000L);
    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<Frame> came = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws Exception {
        for (final AutoCloseable c : open) {
            c.close();
        }
    }

    private Transport dock(final int port) throws IOException {
        final Transport dock = new Transport("127.0.0.1:" + port, came::add, QUICK);
        dock.start();
        open.add(dock::stop);
        return dock;
    }

    private static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static OutgoingFrame ship(final int port, final long number, final String pad) {
        final Member me =
                new Member("p" + pad, "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", number, 4, "up", true);
        return new OutgoingFrame(
                "127.0.0.1:" + port, new Frame(new Stamp(number), 5, "p", "127.0.0.1:1", 3, new Message.Heartbeat(me)));
    }

    private ServerSocket peer(final int port, final BlockingQueue<Socket> taken) throws IOException {
        final ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        open.add(server);
        TransportThreads.start("test", () -> {
            try {
                while (true) {
                    taken.add(server.accept());
                }
            } catch (final IOException e) {
                taken.size();
            }
        });
        return server;
    }

    @Test
    void framesThatGoOneWayOnlyKeepOneConnection() throws Exception {
        final int port = free();
        dock(port);
        final Transport from = dock(free());
        for (int i = 1; i <= 12; i++) {
            from.ship(ship(port, i, ""));
            assertThat(came.poll(2, TimeUnit.SECONDS).stamp().bits(), is((long) i));
            LockSupport.parkNanos(100_000_000L);
        }
        assertThat(from.dropped(), is(0L));
        assertThat(from.connects(), is(1L));
    }

    @Test
    void aPeerThatAcceptsAndNeverReadsIsLeftAndConnectedAnew() throws Exception {
        final int port = free();
        final BlockingQueue<Socket> taken = new LinkedBlockingQueue<>();
        peer(port, taken);
        final Transport from = dock(free());
        final long start = EventLoop.now();
        final String pad = "x".repeat(60_000);
        while (taken.size() < 3 && EventLoop.now() - start < 5_000_000L) {
            from.ship(ship(port, 1, pad));
            LockSupport.parkNanos(5_000_000L);
        }
        assertThat(taken.size(), greaterThanOrEqualTo(3));
        assertThat(EventLoop.now() - start, greaterThan(600_000L));
        assertThat(from.dropped(), greaterThan(0L));
    }

    @Test
    void afterAPeerComesBackOnlyYoungFramesArrive() throws Exception {
        final int port = free();
        final Transport from = dock(free());
        for (int i = 1; i <= 20; i++) {
            from.ship(ship(port, i, ""));
            LockSupport.parkNanos(20_000_000L);
        }
        dock(port);
        final long back = EventLoop.now();
        long number = 20;
        while (came.isEmpty() && EventLoop.now() - back < 3_000_000L) {
            from.ship(ship(port, ++number, ""));
            LockSupport.parkNanos(20_000_000L);
        }
        final Frame first = came.poll(1, TimeUnit.SECONDS);
        assertThat(EventLoop.now() - back, lessThan(1_000_000L));
        assertThat(first.stamp().bits(), greaterThan(8L));
    }

    @Test
    void anIdleLaneCloses() throws Exception {
        final int port = free();
        final BlockingQueue<Socket> taken = new LinkedBlockingQueue<>();
        peer(port, taken);
        final Transport from = dock(free());
        from.ship(ship(port, 1, ""));
        try (Socket s = taken.poll(2, TimeUnit.SECONDS)) {
            s.setSoTimeout(3_000);
            final DataInputStream in = new DataInputStream(s.getInputStream());
            in.readNBytes(in.readInt());
            s.getOutputStream().write(1);
            assertThat(in.read(), is(-1));
        }
    }

    @Test
    void aFullQueueDropsAndCounts() throws Exception {
        final int port = free();
        peer(port, new LinkedBlockingQueue<>());
        final Transport from = dock(free());
        final String pad = "x".repeat(60_000);
        for (int i = 0; i < 800; i++) {
            from.ship(ship(port, 1, pad));
        }
        assertThat(from.dropped(), greaterThan(0L));
        assertThat(from.dropped(), lessThanOrEqualTo(800L));
    }

    @Test
    void aLargeFrameThatGetsOnSlowlyKeepsItsConnectionAndThoseBehindIt() throws Exception {
        final int port = free();
        final BlockingQueue<Socket> taken = new LinkedBlockingQueue<>();
        peer(port, taken).setReceiveBufferSize(32 << 10);
        final Transport from = dock(free());
        from.ship(ship(port, 1, "x".repeat(12 << 20)));
        try (Socket s = taken.poll(2, TimeUnit.SECONDS)) {
            final DataInputStream in = new DataInputStream(s.getInputStream());
            final int size = in.readInt();
            final long start = EventLoop.now();
            for (int left = size; left > 0; ) {
                left -= in.readNBytes(Math.min(left, 256 << 10)).length;
                s.getOutputStream().write(1);
                from.ship(ship(port, 2, ""));
                LockSupport.parkNanos(30_000_000L);
            }
            assertThat(EventLoop.now() - start, greaterThan(1_000_000L));
            in.readNBytes(in.readInt());
            assertThat(from.connects(), is(1L));
            assertThat(from.dropped(), is(0L));
        }
    }
}
