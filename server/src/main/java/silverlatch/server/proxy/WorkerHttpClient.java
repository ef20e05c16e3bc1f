package silverlatch.server.proxy;

import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import silverlatch.server.web.Abrupt;

/** The client side of the gate: connections to workers by Jetty, kept for a short time only. */
public final class WorkerHttpClient {
    private final HttpClient http;

    /** How the client is made; times in milliseconds. */
    public record Setup(int connect, int idle, int lines, int threads) {
        /** What holds when nothing is said. */
        public static final Setup PLAIN = new Setup(400, 3_000, 64, 8);
    }

    /** A client for workers. */
    public WorkerHttpClient(final Setup setup) {
        final QueuedThreadPool pool = new QueuedThreadPool(setup.threads(), 2);
        pool.setName("lighter");
        pool.setDaemon(true);
        pool.setReservedThreads(0);
        final ClientConnector connector = new Abrupt();
        connector.setExecutor(pool);
        connector.setSelectors(1);
        http = new HttpClient(new HttpClientTransportOverHTTP(connector));
        http.setConnectTimeout(setup.connect());
        http.setAddressResolutionTimeout(setup.connect());
        http.setMaxConnectionsPerDestination(setup.lines());
        http.setMaxRequestsQueuedPerDestination(setup.lines());
        http.setIdleTimeout(setup.idle());
        http.setDestinationIdleTimeout(20_000);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        http.setMaxResponseHeadersSize(16 << 10);
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

    Request ask(final String address, final String method, final String path) {
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
