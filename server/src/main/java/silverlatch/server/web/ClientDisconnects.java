package silverlatch.server.web;

import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Request;

/** Notices, while a request is served, that its client has closed the connection. Any thread may call. */
public final class ClientDisconnects {
    private ClientDisconnects() {}

    /**
     * Has a listener called once, on a thread of the server, when the client of a request that was read to its end closes its side of
     * the connection; it is told whether the connection was reset, so that the client reads nothing more. It is called until the
     * response is complete, and then {@link #unwatch} ends the watch.
     */
    public static void watch(final Request request, final Consumer<Boolean> onClosed) {
        endPoint(request).ifPresent(endPoint -> endPoint.watch(onClosed::accept));
    }

    /** Ends the watch of a request, before its response is completed. */
    public static void unwatch(final Request request) {
        endPoint(request).ifPresent(ClientEndPoint::unwatch);
    }

    private static Optional<ClientEndPoint> endPoint(final Request request) {
        return request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }
}
