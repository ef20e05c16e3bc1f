package silverlatch.server.proxy;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection to a worker that is closed instead of reused if bytes followed a complete response on it. Jetty alone discards such
 * bytes and returns the connection to its pool; bytes of the same kind that arrive later would then be read as the response to the
 * next request.
 */
final class WorkerConnection extends HttpConnectionOverHTTP {
    private final boolean closeOnLeftover;
    private volatile boolean leftover;

    WorkerConnection(final EndPoint endPoint, final Map<String, Object> context, final boolean closeOnLeftover) {
        super(endPoint, context);
        this.closeOnLeftover = closeOnLeftover;
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
        return new Channel(this);
    }

    @Override
    public void release() {
        if (leftover && closeOnLeftover) {
            close();
        } else {
            super.release();
        }
    }

    private static final class Channel extends HttpChannelOverHTTP {
        Channel(final WorkerConnection connection) {
            super(connection);
        }

        @Override
        protected HttpReceiverOverHTTP newHttpReceiver() {
            return new Receiver(this);
        }
    }

    private static final class Receiver extends HttpReceiverOverHTTP {
        Receiver(final Channel channel) {
            super(channel);
        }

        @Override
        public boolean messageComplete() {
            final boolean handle = super.messageComplete();
            final ByteBuffer leftoverBytes = getResponseBuffer();
            if (leftoverBytes != null && leftoverBytes.hasRemaining()) {
                ((WorkerConnection) getHttpChannel().getHttpConnection()).leftover = true;
            }
            return handle;
        }
    }
}
