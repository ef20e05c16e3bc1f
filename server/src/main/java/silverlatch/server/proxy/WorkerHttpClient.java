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
 * The HTTP client of the proxy for workers. Connections are pooled for a short time only. It follows no redirect, answers no
 * challenge, and never sends a request twice that has begun to leave. Any thread may send once it is started; responses are handled
 * on its own threads.
 */
public final class WorkerHttpClient {
    private static final int MAX_RESPONSE_HEADER_BYTES = 16 << 10;
    private static final int DESTINATION_IDLE_MS = 20_000;
    private static final int MIN_THREADS = 2;
    private final HttpClient httpClient;

    /**
     * How the client is made.
     *
     * @param connectTimeoutMs        how long a new connection may take, in milliseconds
     * @param idleTimeoutMs           how long a pooled connection is kept, in milliseconds
     * @param maxConnectionsPerWorker how many connections, and how many queued requests, one worker may have at most
     * @param threads                 how many threads serve all connections
     */
    public record Settings(int connectTimeoutMs, int idleTimeoutMs, int maxConnectionsPerWorker, int threads) {
        /** The settings of the programs. */
        public static final Settings DEFAULT = new Settings(400, 3_000, 64, 8);
    }

    /** A client that is not started. */
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
     * Closes all connections and ends the threads; requests under way fail.
     *
     * @throws WorkerHttpClientException when they can't be ended
     */
    public void stop() throws WorkerHttpClientException {
        try {
            httpClient.stop();
        } catch (final Exception failure) {
            throw new WorkerHttpClientException(failure);
        }
    }

    /** A request, not sent yet, to the worker at this {@code host:port}; the path has its query. */
    Request newRequest(final String address, final String method, final String path) {
        return httpClient
                .newRequest(URI.create("http://" + address))
                .method(method)
                .path(path);
    }

    /** The client can't be started or stopped. */
    public static final class WorkerHttpClientException extends Exception {
        /** With what the HTTP client threw. */
        public WorkerHttpClientException(final Throwable cause) {
            super("the client for workers: " + cause.getMessage(), cause);
        }
    }
}
