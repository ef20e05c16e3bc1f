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
    private final HttpClient httpClient;

    /**
     * How the client is made.
     *
     * @param connectTimeoutMs how long a new connection may take, in milliseconds
     * @param idleTimeoutMs    how long a pooled connection is kept, in milliseconds
     * @param maxConnectionsPerWorker   how many connections, and how many queued requests, one worker may have at most
     * @param threads how many threads serve all connections
     */
    public record Settings(int connectTimeoutMs, int idleTimeoutMs, int maxConnectionsPerWorker, int threads) {
        /** What holds when nothing is said. */
        public static final Settings DEFAULT = new Settings(400, 3_000, 64, 8);
    }

    /** A client for workers. */
    public WorkerHttpClient(final Settings settings) {
        this(settings, ProxySafeguard.NONE_DISABLED);
    }

    WorkerHttpClient(final Settings settings, final Set<ProxySafeguard> disabledSafeguards) {
        final QueuedThreadPool pool = new QueuedThreadPool(settings.threads(), 2);
        pool.setName("worker-http");
        pool.setDaemon(true);
        pool.setReservedThreads(0);
        final ClientConnector connector = new ResettingClientConnector();
        connector.setExecutor(pool);
        connector.setSelectors(1);
        httpClient = new HttpClient(
                new WorkerTransport(connector, !disabledSafeguards.contains(ProxySafeguard.LEFTOVER_BYTES)));
        httpClient.setConnectTimeout(settings.connectTimeoutMs());
        httpClient.setAddressResolutionTimeout(settings.connectTimeoutMs());
        httpClient.setMaxConnectionsPerDestination(settings.maxConnectionsPerWorker());
        httpClient.setMaxRequestsQueuedPerDestination(settings.maxConnectionsPerWorker());
        httpClient.setIdleTimeout(settings.idleTimeoutMs());
        httpClient.setDestinationIdleTimeout(DESTINATION_IDLE_MS);
        httpClient.setFollowRedirects(false);
        httpClient.setUserAgentField(null);
        httpClient.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
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
    public void start() throws WorkerHttpClientException {
        try {
            httpClient.start();
            httpClient.getContentDecoderFactories().clear();
            httpClient.getProtocolHandlers().clear();
        } catch (final Exception e) {
            throw new WorkerHttpClientException(e);
        }
    }

    /** Ends the client. */
    public void stop() throws WorkerHttpClientException {
        try {
            httpClient.stop();
        } catch (final Exception e) {
            throw new WorkerHttpClientException(e);
        }
    }

    /** A request to the worker at this address; nothing is sent yet. */
    Request newRequest(final String address, final String method, final String path) {
        return httpClient
                .newRequest(URI.create("http://" + address))
                .method(method)
                .path(path);
    }

    /** A fault of the client. */
    public static final class WorkerHttpClientException extends Exception {
        /** What caused it. */
        public WorkerHttpClientException(final Throwable cause) {
            super("the client for workers: " + cause.getMessage(), cause);
        }
    }
}
