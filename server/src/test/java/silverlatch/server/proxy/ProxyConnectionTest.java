package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.EVENT_STREAM_HEADERS;
import static silverlatch.server.proxy.HttpText.event;
import static silverlatch.server.proxy.HttpText.header;
import static silverlatch.server.proxy.HttpText.read;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Value;

/**
 * Checks connections to clients and workers: limits, reuse, timeouts. Guards against malformed requests that reach a worker, reuse of
 * a connection with leftover bytes, and requests that are resent after a worker closed a pooled connection.
 */
final class ProxyConnectionTest extends ProxyFixture {
    @Test
    void badRequestsCloseTheirConnectionAndReachNoWorker() throws IOException {
        final StubWorker worker = startWorker(r -> successHead(r) + "Content-Length: 0\r\n\r\n");
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw(
                        "POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Bad: a\0b\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n"),
                startsWith("HTTP/1.1 431"));
        assertThat(post("/once/x", "", "x".repeat(5_000)), startsWith("HTTP/1.1 413"));
        assertThat(post("/nowhere/x", "", "b"), startsWith("HTTP/1.1 404"));
        assertThat(worker.received.size(), is(0));
    }

    @Test
    void aRequestWithoutARequestIdReachesNoWorker() throws IOException {
        final StubWorker worker = startWorker(request -> successHead(request) + "Content-Length: 0\r\n\r\n");
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(worker.received.size(), is(0));
    }

    @Test
    void bytesAfterAResponseCloseItsConnection() throws IOException {
        final StubWorker worker = startWorker(
                request -> successHead(request) + "Content-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nSilver");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(2));
    }

    @Test
    void aConnectionWithoutLeftoverBytesIsReused() throws IOException {
        final StubWorker worker = startWorker(request -> successHead(request) + "Content-Length: 2\r\n\r\nok");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aConnectionWithoutLeftoverBytesIsReusedAfterAChunkedResponse() throws IOException {
        final StubWorker worker =
                startWorker(request -> successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + event(1) + "0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aRequestIsNotResentWhenTheWorkerClosesTheConnection() throws IOException {
        final StubWorker worker =
                startWorker(request -> header(request, "Content-Length").equals("1")
                        ? successHead(request) + "Content-Length: 2\r\n\r\nok"
                        : "|");
        final StubWorker other = startWorker(request -> successHead(request) + "Content-Length: 2\r\n\r\nok");
        for (int i = 0; i < 4; i++) {
            post("/once/x", "", "b");
        }
        final int before = worker.received.size() + other.received.size();
        for (int i = 0; i < 4; i++) {
            final String reply = post("/once/x", "", "bb");
            assertThat(reply.startsWith("HTTP/1.1 502") || reply.startsWith("HTTP/1.1 200"), is(true));
        }
        assertThat(worker.received.size() + other.received.size() - before, is(4));
    }

    @Test
    void aSlowWorkerDoesNotCloseTheClientsConnection() throws Exception {
        httpServer.stop();
        httpServer = new MultiListenerServer(8);
        httpServer.addListener("127.0.0.1:" + port, 8_192, 300, proxy.get());
        httpServer.start();
        startWorker(request -> {
            try {
                Thread.sleep(900);
            } catch (final InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
            return successHead(request) + "Content-Length: 2\r\n\r\nok";
        });
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
    }

    @Test
    void theIdleTimeoutInForceAppliesToOpenConnections() throws Exception {
        httpServer.stop();
        httpServer = new MultiListenerServer(8);
        proxy.get().setListener(httpServer.addListener("127.0.0.1:" + port, 8_192, 200, proxy.get()));
        httpServer.start();
        startWorker(request -> successHead(request) + "Content-Length: 2\r\n\r\nok");
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            assertThat(sendAndRead(socket, "t-1"), startsWith("HTTP/1.1 200"));
            proxy.get().updateLimits(new Value.RoutingConfiguration(2, 8_192, 4_096, 1_000_000, 4_000_000));
            Thread.sleep(1_500);
            assertThat(sendAndRead(socket, "t-2"), startsWith("HTTP/1.1 200"));
            proxy.get().updateLimits(new Value.RoutingConfiguration(3, 8_192, 4_096, 1_000_000, 100_000));
            Thread.sleep(80);
            assertThat(sendAndRead(socket, "t-3"), startsWith("HTTP/1.1 200"));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    private static String sendAndRead(final Socket socket, final String requestId) throws IOException {
        final String request = "POST /once/x HTTP/1.1\r\nHost: a\r\nSilverlatch-Ticket: " + requestId
                + "\r\nSilverlatch-Expiry-Ms: 4000\r\nContent-Length: 1\r\n\r\nb";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return read(socket.getInputStream());
    }
}
