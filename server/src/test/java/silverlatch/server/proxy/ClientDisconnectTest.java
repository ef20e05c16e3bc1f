package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.EVENT_STREAM_HEADERS;
import static silverlatch.server.proxy.HttpText.event;
import static silverlatch.server.proxy.HttpText.failure;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.util.Threads;

/**
 * Guards against work that continues for a client that has disconnected, and against requests that are cancelled although their
 * client only half-closed the connection. The worker sends no response while the client closes its connection.
 */
final class ClientDisconnectTest extends ProxyFixture {
    /** The platform counts work that continues for longer than this after the client disconnected. */
    private static final long CANCEL_LIMIT_MS = 500;

    private static final long PAST_HALF_CLOSE_WINDOW_MS = 150;
    private static final long WAIT_MS = 5_000;
    private SilentWorker silentWorker;

    /** A worker that queues each connection once it has read a request on it; it writes nothing by itself. */
    private static final class SilentWorker {
        private final ServerSocket server;
        private final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

        SilentWorker() throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            Threads.startDaemon("silent-worker", this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    final Socket socket = server.accept();
                    requests.add(HttpText.read(socket.getInputStream()));
                    connections.add(socket);
                } catch (final IOException failure) {
                    Thread.yield();
                }
            }
        }

        Socket nextConnection() throws InterruptedException, IOException {
            final Socket socket = connections.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            if (socket == null) {
                throw new IOException("no request came");
            }
            return socket;
        }
    }

    @BeforeEach
    void startSilentWorker() throws IOException {
        silentWorker = new SilentWorker();
    }

    @AfterEach
    void stopSilentWorker() throws IOException {
        silentWorker.server.close();
    }

    /** Adds the silent worker to the router's snapshot. */
    private void addSilentWorker() throws Exception {
        addWorker(silentWorker.server.getLocalPort());
    }

    private Socket send(final String path) throws IOException {
        final Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout((int) WAIT_MS);
        write(client, requestText(path, "t-1", ""));
        return client;
    }

    private static String requestText(final String path, final String id, final String extraHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nSilverlatch-Ticket: " + id
                + "\r\nSilverlatch-Expiry-Ms: 4000\r\n" + extraHeaders + "Content-Length: 1\r\n\r\nb";
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Waits until the proxy closes its connection to the worker, and returns the waiting time in milliseconds. */
    private static long millisUntilConnectionEnd(final Socket worker) throws IOException {
        final long begin = System.nanoTime();
        worker.setSoTimeout((int) WAIT_MS);
        try {
            assertThat(worker.getInputStream().read(), is(-1));
        } catch (final java.net.SocketException reset) {
            Thread.yield();
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    }

    private static String readAll(final Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void theWorkersConnectionIsClosedSoonAfterTheClientDisconnects() throws Exception {
        addSilentWorker();
        final Socket client = send("/again/x");
        final Socket worker = silentWorker.nextConnection();
        Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
        client.close();
        assertThat(millisUntilConnectionEnd(worker) < CANCEL_LIMIT_MS, is(true));
        awaitNoOpenRequest(WAIT_MS);
    }

    @Test
    void aStartedStreamIsCancelledWhenTheClientDisconnects() throws Exception {
        addSilentWorker();
        final Socket client = send("/once/x");
        final Socket worker = silentWorker.nextConnection();
        write(worker, successHead(silentWorker.requests.take()) + EVENT_STREAM_HEADERS + "\r\n" + event(1));
        assertThat(HttpText.read(client.getInputStream()), startsWith("HTTP/1.1 200"));
        Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
        client.close();
        assertThat(millisUntilConnectionEnd(worker) < CANCEL_LIMIT_MS, is(true));
        awaitNoOpenRequest(WAIT_MS);
    }

    @Test
    void aClientThatHalfClosesWithItsRequestIsServed() throws Exception {
        addSilentWorker();
        try (Socket client = send("/again/x")) {
            client.shutdownOutput();
            final Socket worker = silentWorker.nextConnection();
            Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
            write(worker, successHead(silentWorker.requests.take()) + "Content-Length: 2\r\n\r\nok");
            assertThat(readAll(client), containsString("\r\n\r\nok"));
        }
    }

    @Test
    void aNonIdempotentRequestRunsToCompletionAfterTheClientCloses() throws Exception {
        addSilentWorker();
        try (Socket client = send("/plain/x")) {
            final Socket worker = silentWorker.nextConnection();
            Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
            client.shutdownOutput();
            Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
            write(worker, successHead(silentWorker.requests.take()) + "Content-Length: 2\r\n\r\nok");
            assertThat(readAll(client), containsString("\r\n\r\nok"));
        }
    }

    @Test
    void noRetryIsMadeAfterTheClientCloses() throws Exception {
        addSilentWorker();
        final Socket client = send("/plain/x");
        final Socket worker = silentWorker.nextConnection();
        final StubWorker other = startWorker(request -> successHead(request) + "Content-Length: 2\r\n\r\nok");
        Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
        client.shutdownOutput();
        Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
        write(worker, failure(silentWorker.requests.take(), "503 Full", "Silverlatch-Not-Run: 1\r\n"));
        assertThat(readAll(client), startsWith("HTTP/1.1 503"));
        assertThat(other.received.size(), is(0));
    }

    @Test
    void aPipelinedRequestIsServedAfterTheCurrentOne() throws Exception {
        addSilentWorker();
        try (Socket client = send("/again/x")) {
            final Socket worker = silentWorker.nextConnection();
            write(client, requestText("/again/y", "t-2", "Connection: close\r\n"));
            Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
            write(
                    worker,
                    successHead(silentWorker.requests.take()) + "Connection: close\r\nContent-Length: 5\r\n\r\nfirst");
            worker.shutdownOutput();
            final Socket next = silentWorker.nextConnection();
            write(next, successHead(silentWorker.requests.take()) + "Content-Length: 6\r\n\r\nsecond");
            final String replies = readAll(client);
            assertThat(replies, containsString("\r\n\r\nfirst"));
            assertThat(replies, containsString("\r\n\r\nsecond"));
            assertThat(replies.indexOf("first") < replies.indexOf("second"), is(true));
        }
    }

    @Test
    void aDisconnectAfterAPipelinedRequestIsDetected() throws Exception {
        addSilentWorker();
        final Socket client = send("/again/x");
        final Socket worker = silentWorker.nextConnection();
        write(client, requestText("/again/y", "t-2", ""));
        Thread.sleep(PAST_HALF_CLOSE_WINDOW_MS);
        client.close();
        assertThat(millisUntilConnectionEnd(worker) < CANCEL_LIMIT_MS, is(true));
    }
}
