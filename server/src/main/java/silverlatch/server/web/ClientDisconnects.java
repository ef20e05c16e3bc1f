package silverlatch.server.web;

import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Request;

/** Detects that a client has closed its connection while its request is being served. Callable from any thread. */
public final class ClientDisconnects {
    private ClientDisconnects() {}

    /**
     * Watches the connection of a request that was read completely. The listener is called once, on a thread of the server, when the
     * client closes its side of the connection; its argument is whether the connection was reset, so that the client won't read the
     * response. {@link #unwatch} must be called before the response is completed.
     */
    public static void watch(final Request request, final Consumer<Boolean> onClosed) {
        endPoint(request).ifPresent(endPoint -> endPoint.watch(onClosed::accept));
    }

    /** Stops watching the connection of a request. Called before the response is completed. */
    public static void unwatch(final Request request) {
        endPoint(request).ifPresent(ClientEndPoint::unwatch);
    }

    /**
     * Returns the microseconds since the connection was accepted, if the request is the first one on it, else 0. A client sends its first
     * request as soon as it is connected, so that this is the longest time for which the request may have been on its way.
     */
    static long firstRequestWaitMicros(final Request request) {
        final boolean isFirst = request.getConnectionMetaData().getConnection().getMessagesIn() <= 1;
        return isFirst ? endPoint(request).map(ClientEndPoint::ageMicros).orElse(0L) : 0;
    }

    private static Optional<ClientEndPoint> endPoint(final Request request) {
        return request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }
}
