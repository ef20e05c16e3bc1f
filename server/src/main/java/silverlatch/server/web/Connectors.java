package silverlatch.server.web;

import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import silverlatch.server.transport.Transport;

/** Creates Jetty connectors, each of which listens on one address. */
final class Connectors {
    private static final int ACCEPT_QUEUE_SIZE = 512;

    private Connectors() {}

    /** Creates a connector that listens at IP:PORT once its server starts, and closes connections that are idle for longer. */
    static ServerConnector create(
            final Server server,
            final int acceptors,
            final int selectors,
            final HttpConfiguration config,
            final String address,
            final long idleTimeoutMillis) {
        final ServerConnector connector = new ClientEndPointConnector(server, acceptors, selectors, config);
        final InetSocketAddress socketAddress = Transport.parseAddress(address);
        connector.setHost(socketAddress.getHostString());
        connector.setPort(socketAddress.getPort());
        connector.setIdleTimeout(idleTimeoutMillis);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        return connector;
    }

    /** A connector whose connections are {@link ClientEndPoint}s, which detect that the client closes the connection. */
    private static final class ClientEndPointConnector extends ServerConnector {
        ClientEndPointConnector(
                final Server server, final int acceptors, final int selectors, final HttpConfiguration config) {
            super(server, acceptors, selectors, new HttpConnectionFactory(config));
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                final SocketChannel channel, final ManagedSelector selector, final SelectionKey key) {
            final ClientEndPoint endPoint = new ClientEndPoint(channel, selector, key, getScheduler(), getExecutor());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }
}
