package silverlatch.server.web;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reads the whole body of a request, up to a limit, and passes the exchange to a router, which must not block. */
final class BufferingHandler extends Handler.Abstract.NonBlocking {
    private static final int CONTENT_TOO_LARGE = 413;
    private static final byte[] NO_BODY = new byte[0];
    private final int maxBodyBytes;
    private final Consumer<HttpExchange> router;

    BufferingHandler(final int maxBodyBytes, final Consumer<HttpExchange> router) {
        this.maxBodyBytes = maxBodyBytes;
        this.router = router;
    }

    @Override
    public boolean handle(final Request request, final Response response, final Callback callback) {
        final long length = request.getLength();
        if (length > maxBodyBytes) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
            reject(new HttpExchange(request, response, callback, NO_BODY), "");
        } else if (length == 0 || request.getMethod().equals("GET")) {
            router.accept(new HttpExchange(request, response, callback, NO_BODY));
        } else {
            Content.Source.asByteArrayAsync(request, maxBodyBytes).whenComplete((body, failure) -> {
                if (failure != null) {
                    reject(new HttpExchange(request, response, callback, NO_BODY), ", or cut short");
                } else {
                    router.accept(new HttpExchange(request, response, callback, body));
                }
            });
        }
        return true;
    }

    private void reject(final HttpExchange exchange, final String suffix) {
        final String reason = "$: larger than " + maxBodyBytes + " bytes" + suffix;
        exchange.reply(CONTENT_TOO_LARGE, Map.of("outcome", "rejected", "faults", List.of(reason)));
    }
}
