package silverlatch.server.proxy;

import java.net.URI;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientConnectionFactory;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import silverlatch.server.web.ResettingClientConnector;

/**
 * The HTTP client towards workers. Its connections are pooled for a short time only. It follows no redirect, answers no
 * challenge, and sends a request that has begun to leave exactly once.
 */
public final class WorkerHttpClient {
    private static final int MAX_RESPONSE_HEADER_BYTES = 16 << 10;
    private static final int DESTINATION_IDLE_MS = 20_000;
    private final HttpClient http;

    /**
     * How the client is made.
     *
     * @param connect how long a new connection may take, in milliseconds
     * @param idle    how long a pooled connection is kept, in milliseconds
     * @param lines   how many connections, and how many queued requests, one worker may have at most
     * @param threads how many threads serve all connections
     */
    public record Setup(int connect, int idle, int lines, int threads) {
        /** What holds when nothing is said. */
        public static final Setup PLAIN = new Setup(400, 3_000, 64, 8);
    }

    /** A client for workers. */
    public WorkerHttpClient(final Setup setup) {
        this(setup, ProxySafeguard.NONE_DOWN);
    }

    WorkerHttpClient(final Setup setup, final Set<ProxySafeguard> down) {
        final QueuedThreadPool pool = new QueuedThreadPool(setup.threads(), 2);
        pool.setName("worker-http");
        pool.setDaemon(true);
        pool.setReservedThreads(0);
        final ClientConnector connector = new ResettingClientConnector();
        connector.setExecutor(pool);
        connector.setSelectors(1);
        http = new HttpClient(new WorkerTransport(connector, !down.contains(ProxySafeguard.LEFTOVER_BYTES)));
        http.setConnectTimeout(setup.connect());
        http.setAddressResolutionTimeout(setup.connect());
        http.setMaxConnectionsPerDestination(setup.lines());
        http.setMaxRequestsQueuedPerDestination(setup.lines());
        http.setIdleTimeout(setup.idle());
        http.setDestinationIdleTimeout(DESTINATION_IDLE_MS);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        http.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
    }

    /** HTTP/1.1 over connections that are dropped when bytes follow a response. */
    private static final class WorkerTransport extends HttpClientTransportOverHTTP {
        private final HttpClientConnectionFactory connections;

        WorkerTransport(final ClientConnector connector, final boolean closeOnLeftover) {
            super(connector);
            connections = new HttpClientConnectionFactory() {
                @Override
                public Connection newConnection(final EndPoint endPoint, final Map<String, Object> context) {
                    return customize(new WorkerConnection(endPoint, context, closeOnLeftover), context);
                }
            };
        }

        @Override
        public Connection newConnection(final EndPoint endPoint, final Map<String, Object> context) {
            return connections.newConnection(endPoint, context);
        }
    }

    /** Starts the client. */
    public void start() throws WorkerHttpClientFault {
        try {
            http.start();
            http.getContentDecoderFactories().clear();
            http.getProtocolHandlers().clear();
        } catch (final Exception e) {
            throw new WorkerHttpClientFault(e);
        }
    }

    /** Ends the client. */
    public void stop() throws WorkerHttpClientFault {
        try {
            http.stop();
        } catch (final Exception e) {
            throw new WorkerHttpClientFault(e);
        }
    }

    /** A request to the worker at this address; nothing is sent yet. */
    Request newRequest(final String address, final String method, final String path) {
        return http.newRequest(URI.create("http://" + address)).method(method).path(path);
    }

    /** A fault of the client. */
    public static final class WorkerHttpClientFault extends Exception {
        /** What caused it. */
        public WorkerHttpClientFault(final Throwable cause) {
            super("the client for workers: " + cause.getMessage(), cause);
        }
    }
}
