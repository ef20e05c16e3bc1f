package silverlatch.server.web;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Serves the HTTP API of a process on one address, using Jetty. The sizes of bodies and headers and the number of threads are limited. */
public final class ApiServer {
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 4;
    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;
    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private final Server server;

    /**
     * Creates a server that isn't started yet.
     *
     * @param address      IP:PORT to listen at
     * @param maxBodyBytes the limit on the size of a request's body
     * @param router       is called with each exchange once its body is complete, on a thread of the server
     */
    public ApiServer(final String address, final int maxBodyBytes, final Consumer<HttpExchange> router) {
        final QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threadPool.setName("http-api");
        threadPool.setDaemon(true);
        server = new Server(threadPool);
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(MAX_HEADER_BYTES);
        config.setSendServerVersion(false);
        config.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(Connectors.create(server, ACCEPTORS, SELECTORS, config, address, IDLE_TIMEOUT_MS));
        server.setHandler(new BufferingHandler(maxBodyBytes, router));
        server.setErrorHandler(ApiServer::replyToError);
    }

    /**
     * Binds the address and starts serving.
     *
     * @throws HttpServerException if the address can't be bound
     */
    public void start() throws HttpServerException {
        try {
            server.start();
        } catch (final Exception failure) {
            throw new HttpServerException("the HTTP server can't be started: " + failure.getMessage(), failure);
        }
    }

    /**
     * Stops serving and closes all connections.
     *
     * @throws HttpServerException if a part of the server fails to stop
     */
    public void stop() throws HttpServerException {
        try {
            server.stop();
        } catch (final Exception failure) {
            throw new HttpServerException("the HTTP server can't be stopped: " + failure.getMessage(), failure);
        }
    }

    /** Thrown if a server can't be started or stopped. */
    public static final class HttpServerException extends Exception {
        /** Creates an exception whose message says what failed. */
        public HttpServerException(final String message, final Throwable cause) {
            super(message, cause);
        }
    }

    private static boolean replyToError(final Request request, final Response response, final Callback callback) {
        final int status = response.getStatus();
        new HttpExchange(request, response, callback, new byte[0])
                .reply(
                        status < FIRST_ERROR_STATUS ? INTERNAL_SERVER_ERROR : status,
                        Map.of("outcome", "rejected", "faults", List.of("$: not understood")));
        return true;
    }
}
