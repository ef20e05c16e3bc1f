package silverlatch.server.web;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens plain TCP connections that are reset instead of shut down when they are closed. TLS is not supported and not initialized. */
public final class ResettingClientConnector extends ClientConnector {
    @Override
    protected void configure(final SelectableChannel channel) throws IOException {
        super.configure(channel);
        if (channel instanceof SocketChannel socket) {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new NoTls();
    }

    private static final class NoTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {}
    }
}
