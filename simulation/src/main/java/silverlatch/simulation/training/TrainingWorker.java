package silverlatch.simulation.training;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import silverlatch.util.Threads;

/**
 * A worker that answers every request with a stream of four events. It echoes the header field of the attempt id and adds its
 * seal to the response in another header field; the names of both are arguments, since each deployment has its own.
 */
public final class TrainingWorker {
    private static final int EVENTS = 4;
    private static final int BACKLOG = 64;
    private static final int OK = 200;
    private static final long EVENT_PAUSE_MS = 3;
    private static final String SEAL = "training";

    private final String attemptIdHeader;
    private final String sealHeader;

    private TrainingWorker(final String attemptIdHeader, final String sealHeader) {
        this.attemptIdHeader = attemptIdHeader;
        this.sealHeader = sealHeader;
    }

    /**
     * Serves requests until the process is stopped.
     *
     * @param arguments the IP address and the port to listen at, and the names of the header fields of attempt id and seal
     * @throws IOException if the address can't be bound
     */
    public static void main(final String[] arguments) throws IOException {
        final List<String> given = List.of(arguments);
        final HttpServer server =
                HttpServer.create(new InetSocketAddress(given.get(0), Integer.parseInt(given.get(1))), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(task -> Threads.daemon("training-worker", task)));
        server.createContext("/", new TrainingWorker(given.get(2), given.get(3))::handle);
        server.start();
    }

    private void handle(final HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(attemptIdHeader))
                .ifPresent(id -> exchange.getResponseHeaders().set(attemptIdHeader, id));
        exchange.getResponseHeaders().set(sealHeader, SEAL);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(OK, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 1; i <= EVENTS; i++) {
                out.write(("id: " + i + "\ndata: piece " + i + "\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                TimeUnit.MILLISECONDS.sleep(EVENT_PAUSE_MS);
            }
        } catch (final InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
