package silverlatch.server.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A client on real sockets that at random, by seed, reuses connections, pipelines requests, half-closes connections, sends incomplete
 * requests, or disconnects early.
 */
final class ScriptedClient implements Runnable {
    private static final int DEADLINE_MS = 700;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private final String name;
    private final int port;
    private final int connectionCount;
    private final SplittableRandom random;
    private final ExchangeLog log;
    private int requestCount;

    ScriptedClient(
            final String name, final int port, final int connectionCount, final long seed, final ExchangeLog log) {
        this.name = name;
        this.port = port;
        this.connectionCount = connectionCount;
        this.random = new SplittableRandom(seed);
        this.log = log;
    }

    @Override
    public void run() {
        for (int i = 0; i < connectionCount; i++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(10_000);
                switch (random.nextInt(6)) {
                    case 0 -> pipeline(socket);
                    case 1 -> disconnectEarly(socket);
                    case 2 -> sendPartialRequest(socket);
                    case 3 -> halfClose(socket);
                    default -> keepAlive(socket);
                }
            } catch (final IOException failure) {
                Thread.yield();
            }
        }
    }

    private void keepAlive(final Socket socket) throws IOException {
        final InputStream in = new BufferedInputStream(socket.getInputStream());
        final int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            final ExchangeLog.ClientRequest request = newRequest(true);
            write(socket, requestText(request));
            if (receive(request, in).closes()) {
                break;
            }
        }
        expectNoMoreBytes(socket, in);
    }

    private void pipeline(final Socket socket) throws IOException {
        final List<ExchangeLog.ClientRequest> requests = new ArrayList<>();
        final StringBuilder text = new StringBuilder();
        final int count = 2 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            final ExchangeLog.ClientRequest request = newRequest(true);
            requests.add(request);
            text.append(requestText(request));
        }
        write(socket, text.toString());
        final InputStream in = new BufferedInputStream(socket.getInputStream());
        for (final ExchangeLog.ClientRequest request : requests) {
            if (receive(request, in).closes()) {
                return;
            }
        }
        expectNoMoreBytes(socket, in);
    }

    private void disconnectEarly(final Socket socket) throws IOException {
        write(socket, requestText(newRequest(true)));
        try {
            Thread.sleep(random.nextInt(8));
        } catch (final InterruptedException failure) {
            throw new IOException(failure);
        }
        socket.setSoLinger(random.nextBoolean(), 0);
    }

    /**
     * Sends an incomplete request: at least the last byte of the body is missing, or, in a chunked body, everything from the size
     * line of the last chunk on. A request that lacks only bytes after that line could already be forwarded.
     */
    private void sendPartialRequest(final Socket socket) throws IOException {
        final String text = requestText(newRequest(false));
        final int end = text.endsWith(LAST_CHUNK) ? text.length() - LAST_CHUNK.length() : text.length() - 1;
        write(socket, text.substring(0, end - random.nextInt(end)));
    }

    private void halfClose(final Socket socket) throws IOException {
        final ExchangeLog.ClientRequest request = newRequest(true);
        write(socket, requestText(request));
        socket.shutdownOutput();
        final InputStream in = new BufferedInputStream(socket.getInputStream());
        if (!receive(request, in).closes()) {
            expectEnd(in);
        }
    }

    private void expectNoMoreBytes(final Socket socket, final InputStream in) throws IOException {
        socket.shutdownOutput();
        expectEnd(in);
    }

    private void expectEnd(final InputStream in) throws IOException {
        if (in.read() >= 0) {
            log.violations.add("MIXED: " + name + " received bytes while no request was pending");
        }
    }

    private HttpResponseReader.Message receive(final ExchangeLog.ClientRequest request, final InputStream in) {
        final HttpResponseReader.Message message = HttpResponseReader.read(in);
        log.responses.add(new ExchangeLog.ReceivedResponse(request, message));
        return message;
    }

    private ExchangeLog.ClientRequest newRequest(final boolean complete) {
        final ExchangeLog.Kind[] kinds = ExchangeLog.Kind.values();
        final ExchangeLog.Kind kind = kinds[random.nextInt(kinds.length)];
        final String id = name + "-" + requestCount++;
        final ExchangeLog.ClientRequest request = new ExchangeLog.ClientRequest(
                id, kind, kind.prefix + id + "?q=" + id, "body of " + id + "y".repeat(random.nextInt(300)), complete);
        log.requests.put(id, request);
        return request;
    }

    private static String requestText(final ExchangeLog.ClientRequest request) {
        final String head = "POST " + request.path() + " HTTP/1.1\r\nHost: a\r\nSilverlatch-Ticket: " + request.id()
                + "\r\nSilverlatch-Expiry-Ms: " + DEADLINE_MS + "\r\nAuthorization: Token " + ExchangeLog.KEY_PREFIX
                + request.tenant() + "\r\nSilverlatch-Tenant: forged\r\n";
        final String body = request.body();
        return request.id().hashCode() % 3 == 0
                ? head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n" + LAST_CHUNK
                : head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
