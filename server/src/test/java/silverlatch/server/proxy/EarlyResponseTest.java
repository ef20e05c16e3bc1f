package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.header;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.util.Threads;

/**
 * Guards against bodies of two requests that get mixed on one connection: a worker replies before it has read a long body, keeps the
 * connection open, and reads the rest later. If the connection is reused meanwhile, the next request may follow an incomplete body.
 */
final class EarlyResponseTest extends ProxyFixture {
    private static final int BODY_BYTES = 6 << 20;
    private static final int BODY_LIMIT = 8 << 20;
    private static final long READ_LATER_MS = 300;
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private ServerSocket worker;

    @BeforeEach
    void startWorker() throws IOException {
        proxy.get().setMaxBodyBytes(BODY_LIMIT);
        worker = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Threads.startDaemon("early-worker", this::accept);
        addWorker(worker.getLocalPort());
    }

    @AfterEach
    void stopWorker() throws IOException {
        worker.close();
    }

    private void accept() {
        while (!worker.isClosed()) {
            try {
                final Socket socket = worker.accept();
                Threads.startDaemon("early-worker", () -> serve(socket));
            } catch (final IOException failure) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            while (true) {
                final String head = readHead(socket.getInputStream());
                final String reply = successHead(head) + "Content-Length: 5\r\n\r\nearly";
                socket.getOutputStream().write(reply.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                Thread.sleep(READ_LATER_MS);
                final int length = Integer.parseInt(header(head, "Content-Length"));
                bodies.add(new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1));
            }
        } catch (final IOException | InterruptedException failure) {
            Thread.yield();
        }
    }

    private static String readHead(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("gone");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    @Test
    void anEarlyResponseDoesNotMixTheBodiesOfTwoRequests() throws Exception {
        final String first = "a".repeat(BODY_BYTES);
        final String second = "c".repeat(BODY_BYTES);
        assertThat(post("/once/x", "", first), containsString("early"));
        assertThat(post("/once/y", "", second), startsWith("HTTP/1.1 200"));
        Thread.sleep(4 * READ_LATER_MS);
        for (final String body : bodies) {
            assertThat(
                    "the body of one request, complete or truncated by the end of its connection",
                    first.startsWith(body) || second.startsWith(body),
                    is(true));
        }
        assertThat(bodies.size(), is(2));
    }
}
