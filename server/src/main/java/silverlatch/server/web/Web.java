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
public final class Web {
    private final Server server;

    /** A server at a door that hands whole calls to the router. */
    public Web(final String door, final int most, final Consumer<Call> router) {
        final QueuedThreadPool pool = new QueuedThreadPool(24, 4);
        pool.setName("web");
        pool.setDaemon(true);
        server = new Server(pool);
        final HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(8 << 10);
        config.setSendServerVersion(false);
        config.setIdleTimeout(60_000);
        final ServerConnector connector = new ServerConnector(server, 1, 2, new HttpConnectionFactory(config));
        final InetSocketAddress place = Transport.place(door);
        connector.setHost(place.getHostString());
        connector.setPort(place.getPort());
        connector.setIdleTimeout(60_000);
        connector.setAcceptQueueSize(512);
        server.addConnector(connector);
        server.setHandler(new Router(most, router));
        server.setErrorHandler((request, response, callback) -> {
            new Call(request, response, callback, new byte[0])
                    .reply(
                            response.getStatus() < 400 ? 500 : response.getStatus(),
                            Map.of("outcome", "rejected", "faults", List.of("$: not understood")));
            return true;
        });
    }

    /** Binds and starts. */
    public void start() throws WebFault {
        try {
            server.start();
        } catch (final Exception e) {
            throw new WebFault("the door can't be opened: " + e.getMessage(), e);
        }
    }

    /** Stops. */
    public void stop() throws WebFault {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new WebFault("the door can't be closed: " + e.getMessage(), e);
        }
    }

    /** A fault of the HTTP layer. */
    public static final class WebFault extends Exception {
        /** A fault and what caused it. */
        public WebFault(final String text, final Throwable cause) {
            super(text, cause);
        }
    }

    static final class Router extends Handler.Abstract.NonBlocking {
        private final int most;
        private final Consumer<Call> router;

        Router(final int most, final Consumer<Call> router) {
            this.most = most;
            this.router = router;
        }

        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            final long size = request.getLength();
            if (size > most) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
                new Call(request, response, callback, new byte[0])
                        .reply(
                                413,
                                Map.of("outcome", "rejected", "faults", List.of("$: larger than " + most + " bytes")));
                return true;
            }
            if (size == 0 || request.getMethod().equals("GET")) {
                router.accept(new Call(request, response, callback, new byte[0]));
                return true;
            }
            Content.Source.asByteArrayAsync(request, most).whenComplete((bytes, fault) -> {
                if (fault != null) {
                    new Call(request, response, callback, new byte[0])
                            .reply(
                                    413,
                                    Map.of(
                                            "outcome",
                                            "rejected",
                                            "faults",
                                            List.of("$: larger than " + most + " bytes, or cut short")));
                } else {
                    router.accept(new Call(request, response, callback, bytes));
                }
            });
            return true;
        }
    }
}
