package silverlatch.server.proxy;

import static silverlatch.server.proxy.HttpText.read;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import silverlatch.util.Threads;

/**
 * A worker that replies to each request with the bytes that a script returns. If these end with a vertical bar, it omits the bar and
 * closes the connection.
 */
final class StubWorker implements Closeable {
    private final ServerSocket server;
    final List<String> received = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final Function<String, String> script;

    StubWorker(final Function<String, String> script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Threads.startDaemon("stub-worker", this::run);
    }

    private void run() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                connections.incrementAndGet();
                Threads.startDaemon("stub-worker", () -> serve(socket));
            } catch (final IOException failure) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (Socket connection = socket) {
            while (true) {
                final String request = read(connection.getInputStream());
                received.add(request);
                final String reply = script.apply(request);
                final boolean close = reply.endsWith("|");
                connection
                        .getOutputStream()
                        .write((close ? reply.substring(0, reply.length() - 1) : reply)
                                .getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().flush();
                if (close) {
                    return;
                }
            }
        } catch (final IOException failure) {
            Thread.yield();
        }
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
