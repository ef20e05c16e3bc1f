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
public final class Doors {
    private final Server server;
    private final Map<Connector, Handler> doors = new ConcurrentHashMap<>();

    /** Doors over so many threads at most. */
    public Doors(final int threads) {
        final QueuedThreadPool pool = new QueuedThreadPool(threads, 2);
        pool.setName("doors");
        pool.setDaemon(true);
        pool.setReservedThreads(0);
        server = new Server(pool);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(final Request request, final Response response, final Callback callback)
                    throws Exception {
                return doors.get(request.getConnectionMetaData().getConnector()).handle(request, response, callback);
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
    public static final class Door {
        private static final int MAX_HEADER_BYTES = 64 << 10;
        private static final long IDLE_SLACK_MS = 1_000;
        private final HttpConfiguration config;
        private final ServerConnector connector;
        private final int least;

        private Door(final HttpConfiguration config, final ServerConnector connector, final int least) {
            this.config = config;
            this.connector = connector;
            this.least = least;
        }

        /**
         * Takes the limits that hold from now on: the size of a request's head in bytes, for new connections, and how long
         * a client may rest in milliseconds, for all connections. A connection is closed a little later than the client may
         * take it up again.
         */
        public void limits(final int headBytes, final long idleMillis) {
            config.setRequestHeaderSize(Math.min(MAX_HEADER_BYTES, Math.max(least, headBytes)));
            connector.setIdleTimeout(idleMillis + IDLE_SLACK_MS);
            connector.getConnectedEndPoints().forEach(e -> e.setIdleTimeout(idleMillis + IDLE_SLACK_MS));
        }
    }

    /** Adds a door; headers are bounded in bytes, and a connection may be idle for so many milliseconds. */
    public Door add(final String address, final int head, final long idle, final Handler handler) {
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(head);
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        final ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(config));
        final InetSocketAddress place = Transport.place(address);
        connector.setHost(place.getHostString());
        connector.setPort(place.getPort());
        connector.setIdleTimeout(idle);
        connector.setAcceptQueueSize(512);
        doors.put(connector, handler);
        server.addConnector(connector);
        return new Door(config, connector, head);
    }

    /** Adds a door for whole calls, with bodies up to a bound. */
    public void add(
            final String address, final int head, final long idle, final int most, final Consumer<Call> router) {
        add(address, head, idle, new Web.Router(most, router));
    }

    /** Binds and starts. */
    public void start() throws Web.WebFault {
        try {
            server.setStopTimeout(0);
            server.start();
        } catch (final Exception e) {
            throw new Web.WebFault("a door can't be opened: " + e.getMessage(), e);
        }
    }

    /** Stops. */
    public void stop() throws Web.WebFault {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new Web.WebFault("a door can't be closed: " + e.getMessage(), e);
        }
    }
}
