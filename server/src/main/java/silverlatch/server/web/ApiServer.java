package silverlatch.server.web;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
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

/** The HTTP side of a process, by Jetty; bodies, headers and threads are bounded. */
public final class ApiServer {
    private final Server server;

    /** A server at a door that hands whole calls to the router. */
    public ApiServer(final String address, final int maxBodyBytes, final Consumer<HttpExchange> router) {
        final QueuedThreadPool threadPool = new QueuedThreadPool(24, 4);
        threadPool.setName("web");
        threadPool.setDaemon(true);
        server = new Server(threadPool);
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(8 << 10);
        config.setSendServerVersion(false);
        config.setIdleTimeout(60_000);
        final ServerConnector connector = new ServerConnector(server, 1, 2, new HttpConnectionFactory(config));
        final InetSocketAddress socketAddress = Transport.parseAddress(address);
        connector.setHost(socketAddress.getHostString());
        connector.setPort(socketAddress.getPort());
        connector.setIdleTimeout(60_000);
        connector.setAcceptQueueSize(512);
        server.addConnector(connector);
        server.setHandler(new BufferingHandler(maxBodyBytes, router));
        server.setErrorHandler((request, response, callback) -> {
            new HttpExchange(request, response, callback, new byte[0])
                    .reply(
                            response.getStatus() < 400 ? 500 : response.getStatus(),
                            Map.of("outcome", "rejected", "faults", List.of("$: not understood")));
            return true;
        });
    }

    /** Binds and starts. */
    public void start() throws HttpServerException {
        try {
            server.start();
        } catch (final Exception e) {
            throw new HttpServerException("the door can't be opened: " + e.getMessage(), e);
        }
    }

    /** Stops. */
    public void stop() throws HttpServerException {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new HttpServerException("the door can't be closed: " + e.getMessage(), e);
        }
    }

    /** A fault of the HTTP layer. */
    public static final class HttpServerException extends Exception {
        /** A fault and what caused it. */
        public HttpServerException(final String message, final Throwable cause) {
            super(message, cause);
        }
    }

    static final class BufferingHandler extends Handler.Abstract.NonBlocking {
        private final int maxBodyBytes;
        private final Consumer<HttpExchange> router;

        BufferingHandler(final int maxBodyBytes, final Consumer<HttpExchange> router) {
            this.maxBodyBytes = maxBodyBytes;
            this.router = router;
        }

        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            final long size = request.getLength();
            if (size > maxBodyBytes) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
                new HttpExchange(request, response, callback, new byte[0])
                        .reply(
                                413,
                                Map.of(
                                        "outcome",
                                        "rejected",
                                        "faults",
                                        List.of("$: larger than " + maxBodyBytes + " bytes")));
                return true;
            }
            if (size == 0 || request.getMethod().equals("GET")) {
                router.accept(new HttpExchange(request, response, callback, new byte[0]));
                return true;
            }
            Content.Source.asByteArrayAsync(request, maxBodyBytes).whenComplete((bytes, fault) -> {
                if (fault != null) {
                    new HttpExchange(request, response, callback, new byte[0])
                            .reply(
                                    413,
                                    Map.of(
                                            "outcome",
                                            "rejected",
                                            "faults",
                                            List.of("$: larger than " + maxBodyBytes + " bytes, or cut short")));
                } else {
                    router.accept(new HttpExchange(request, response, callback, bytes));
                }
            });
            return true;
        }
    }
}
