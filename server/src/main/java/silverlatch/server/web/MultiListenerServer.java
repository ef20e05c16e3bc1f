package silverlatch.server.web;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Serves HTTP on several addresses with one small thread pool and a handler for each address. */
public final class MultiListenerServer {
    private static final int MIN_THREADS = 2;
    private static final int ACCEPTORS = 0;
    private static final int SELECTORS = 1;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private final Server server;
    private final Map<Connector, Handler> handlers = new ConcurrentHashMap<>();

    /** Creates a server that isn't started yet. */
    public MultiListenerServer(final int maxThreads) {
        final QueuedThreadPool threadPool = new QueuedThreadPool(maxThreads, MIN_THREADS);
        threadPool.setName("http-listeners");
        threadPool.setDaemon(true);
        threadPool.setReservedThreads(0);
        server = new Server(threadPool);
        server.setHandler(new HandlerByConnector());
        server.setErrorHandler((request, response, callback) -> replyToError(response, callback));
    }

    /** An address that is served; its limits can be changed while the server runs. Callable from any thread. */
    public static final class Listener {
        private static final int MAX_HEADER_BYTES = 64 << 10;

        /** Additional time for which an idle connection stays open after the client may last reuse it. */
        private static final long IDLE_SLACK_MS = 1_000;

        private final HttpConfiguration config;
        private final ServerConnector connector;
        private final int minHeaderBytes;

        private Listener(final HttpConfiguration config, final ServerConnector connector, final int minHeaderBytes) {
            this.config = config;
            this.connector = connector;
            this.minHeaderBytes = minHeaderBytes;
        }

        /**
         * Replaces the limits.
         *
         * @param headerBytes the limit on the size of a request's header, for new connections
         * @param idleMillis  for how long a client may leave a connection idle, for all connections
         */
        public void updateLimits(final int headerBytes, final long idleMillis) {
            config.setRequestHeaderSize(Math.min(MAX_HEADER_BYTES, Math.max(minHeaderBytes, headerBytes)));
            connector.setIdleTimeout(idleMillis + IDLE_SLACK_MS);
            connector.getConnectedEndPoints().forEach(endPoint -> endPoint.setIdleTimeout(idleMillis + IDLE_SLACK_MS));
        }
    }

    /** Adds an address IP:PORT with a handler, a limit on the size of request headers, and an idle timeout of connections. */
    public Listener addListener(
            final String address, final int maxHeaderBytes, final long idleMillis, final Handler handler) {
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(maxHeaderBytes);
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        final ServerConnector connector = Connectors.create(server, ACCEPTORS, SELECTORS, config, address, idleMillis);
        handlers.put(connector, handler);
        server.addConnector(connector);
        return new Listener(config, connector, maxHeaderBytes);
    }

    /** Adds an address whose router is called with exchanges once their bodies, up to a limit, are complete. */
    public void addListener(
            final String address,
            final int maxHeaderBytes,
            final long idleMillis,
            final int maxBodyBytes,
            final Consumer<HttpExchange> router) {
        addListener(address, maxHeaderBytes, idleMillis, new BufferingHandler(maxBodyBytes, router));
    }

    /**
     * Binds all addresses and starts serving.
     *
     * @throws ApiServer.HttpServerException if an address can't be bound
     */
    public void start() throws ApiServer.HttpServerException {
        try {
            server.setStopTimeout(0);
            server.start();
        } catch (final Exception failure) {
            throw new ApiServer.HttpServerException(
                    "the HTTP server can't be started: " + failure.getMessage(), failure);
        }
    }

    /**
     * Stops serving and closes all connections immediately.
     *
     * @throws ApiServer.HttpServerException if a part of the server fails to stop
     */
    public void stop() throws ApiServer.HttpServerException {
        try {
            server.stop();
        } catch (final Exception failure) {
            throw new ApiServer.HttpServerException(
                    "the HTTP server can't be stopped: " + failure.getMessage(), failure);
        }
    }

    private static boolean replyToError(final Response response, final Callback callback) {
        if (response.getStatus() < FIRST_ERROR_STATUS) {
            response.setStatus(INTERNAL_SERVER_ERROR);
        }
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        response.write(true, ByteBuffer.wrap("not understood\n".getBytes(StandardCharsets.US_ASCII)), callback);
        return true;
    }

    /** Passes a request to the handler of the address on which it was received. */
    private final class HandlerByConnector extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(final Request request, final Response response, final Callback callback)
                throws Exception {
            return handlers.get(request.getConnectionMetaData().getConnector()).handle(request, response, callback);
        }
    }
}
