package silverlatch.server.web;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import silverlatch.server.transport.Transport;

/** Several doors of one process over one small pool of threads; each has a handler of its own. */
public final class MultiListenerServer {
    private final Server server;
    private final Map<Connector, Handler> handlers = new ConcurrentHashMap<>();

    /** Doors over so many threads at most. */
    public MultiListenerServer(final int maxThreads) {
        final QueuedThreadPool threadPool = new QueuedThreadPool(maxThreads, 2);
        threadPool.setName("doors");
        threadPool.setDaemon(true);
        threadPool.setReservedThreads(0);
        server = new Server(threadPool);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(final Request request, final Response response, final Callback callback)
                    throws Exception {
                return handlers.get(request.getConnectionMetaData().getConnector())
                        .handle(request, response, callback);
            }
        });
        server.setErrorHandler((request, response, callback) -> {
            if (response.getStatus() < 400) {
                response.setStatus(500);
            }
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
            response.write(
                    true,
                    java.nio.ByteBuffer.wrap("not understood\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII)),
                    callback);
            return true;
        });
    }

    /** A door whose limits can be changed while it is open. */
    public static final class Listener {
        private static final int MAX_HEADER_BYTES = 64 << 10;
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
         * Takes the limits that hold from now on: the size of a request's head in bytes, for new connections, and how long
         * a client may rest in milliseconds, for all connections. A connection is closed a little later than the client may
         * take it up again.
         */
        public void updateLimits(final int headerBytes, final long idleMillis) {
            config.setRequestHeaderSize(Math.min(MAX_HEADER_BYTES, Math.max(minHeaderBytes, headerBytes)));
            connector.setIdleTimeout(idleMillis + IDLE_SLACK_MS);
            connector.getConnectedEndPoints().forEach(e -> e.setIdleTimeout(idleMillis + IDLE_SLACK_MS));
        }
    }

    /** Adds a door; headers are bounded in bytes, and a connection may be idle for so many milliseconds. */
    public Listener addListener(
            final String address, final int maxHeaderBytes, final long idleMillis, final Handler handler) {
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(maxHeaderBytes);
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        final ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(config));
        final InetSocketAddress socketAddress = Transport.parseAddress(address);
        connector.setHost(socketAddress.getHostString());
        connector.setPort(socketAddress.getPort());
        connector.setIdleTimeout(idleMillis);
        connector.setAcceptQueueSize(512);
        handlers.put(connector, handler);
        server.addConnector(connector);
        return new Listener(config, connector, maxHeaderBytes);
    }

    /** Adds a door for whole calls, with bodies up to a bound. */
    public void addListener(
            final String address,
            final int maxHeaderBytes,
            final long idleMillis,
            final int maxBodyBytes,
            final Consumer<HttpExchange> router) {
        addListener(address, maxHeaderBytes, idleMillis, new ApiServer.BufferingHandler(maxBodyBytes, router));
    }

    /** Binds and starts. */
    public void start() throws ApiServer.HttpServerException {
        try {
            server.setStopTimeout(0);
            server.start();
        } catch (final Exception e) {
            throw new ApiServer.HttpServerException("a door can't be opened: " + e.getMessage(), e);
        }
    }

    /** Stops. */
    public void stop() throws ApiServer.HttpServerException {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new ApiServer.HttpServerException("a door can't be closed: " + e.getMessage(), e);
        }
    }
}
