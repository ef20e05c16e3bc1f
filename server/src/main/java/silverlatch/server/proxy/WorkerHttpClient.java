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
 * The HTTP client with which the proxy sends requests to workers. It pools connections for a short time only, follows no
 * redirects, answers no authentication challenges, and never resends a request whose sending has begun. Thread-safe once started;
 * responses are handled on its own threads.
 */
public final class WorkerHttpClient {
    private static final int MAX_RESPONSE_HEADER_BYTES = 16 << 10;
    private static final int DESTINATION_IDLE_MS = 20_000;
    private static final int MIN_THREADS = 2;
    private final HttpClient httpClient;

    /**
     * The settings of the client.
     *
     * @param connectTimeoutMs        the timeout for opening a connection and for resolving its address, in milliseconds
     * @param idleTimeoutMs           how long an idle connection is kept in the pool, in milliseconds
     * @param maxConnectionsPerWorker the maximum number of connections, and also of queued requests, per worker
     * @param threads                 the maximum number of threads, which serve all connections
     */
    public record Settings(int connectTimeoutMs, int idleTimeoutMs, int maxConnectionsPerWorker, int threads) {
        /** The settings used in production. */
        public static final Settings DEFAULT = new Settings(400, 3_000, 64, 8);
    }

    /** Creates a client that is not started. */
    public WorkerHttpClient(final Settings settings) {
        this(settings, ProxySafeguard.NONE_DISABLED);
    }

    WorkerHttpClient(final Settings settings, final Set<ProxySafeguard> disabledSafeguards) {
        final QueuedThreadPool pool = new QueuedThreadPool(settings.threads(), MIN_THREADS);
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

    /** The HTTP/1.1 transport, whose connections are closed if bytes follow a response. */
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

    /**
     * Starts the client's threads.
     *
     * @throws WorkerHttpClientException when they can't be started
     */
    public void start() throws WorkerHttpClientException {
        try {
            httpClient.start();
            httpClient.getContentDecoderFactories().clear();
            httpClient.getProtocolHandlers().clear();
        } catch (final Exception failure) {
            throw new WorkerHttpClientException(failure);
        }
    }

    /**
     * Closes all connections and stops the threads; requests in flight fail.
     *
     * @throws WorkerHttpClientException when they can't be stopped
     */
    public void stop() throws WorkerHttpClientException {
        try {
            httpClient.stop();
        } catch (final Exception failure) {
            throw new WorkerHttpClientException(failure);
        }
    }

    /** Creates a request, without sending it, to the worker at this {@code host:port}; the path includes the query. */
    Request newRequest(final String address, final String method, final String path) {
        return httpClient
                .newRequest(URI.create("http://" + address))
                .method(method)
                .path(path);
    }

    /** Thrown when the client can't be started or stopped. */
    public static final class WorkerHttpClientException extends Exception {
        /** Creates an exception with the failure of the underlying HTTP client as its cause. */
        public WorkerHttpClientException(final Throwable cause) {
            super("can't start or stop the proxy's HTTP client for workers: " + cause.getMessage(), cause);
        }
    }
}
