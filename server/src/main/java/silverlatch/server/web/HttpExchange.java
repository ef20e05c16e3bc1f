package silverlatch.server.web;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.Caller;

/**
 * An HTTP request with its body, and the reply to it. Only the first reply is sent; later ones are ignored. The reply may be given from
 * any thread.
 */
public final class HttpExchange {
    private static final int OK = 200;
    private static final String BEARER = "Bearer ";
    private static final String JSON = "application/json";
    private static final String JSON_LINES = "application/x-ndjson";
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final AtomicBoolean isReplied = new AtomicBoolean();
    private final AtomicBoolean isStreaming = new AtomicBoolean();

    /** Held while the connection is watched or no longer watched, so that no watch begins after the reply. */
    private final Object watchLock = new Object();

    HttpExchange(final Request request, final Response response, final Callback callback, final byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    /** Returns the request's method, in upper case. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the request's path, without the query. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns a copy of the request's body; empty if there is none. */
    public byte[] body() {
        return body.clone();
    }

    /** Returns the first value of a request header. */
    public Optional<String> header(final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Returns the bearer token of the header Authorization; an empty string if there is none. */
    public String bearerToken() {
        return header("Authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()))
                .orElse("");
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> queryParameter(final String name) {
        final Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    /** Calls the listener, on a thread of the server, if the connection fails before the reply is complete. */
    public void onDisconnect(final Runnable listener) {
        request.addFailureListener(failure -> listener.run());
    }

    /** Makes the connection end with the reply, so that the client's next request has a connection of its own. */
    public void closeAfterReply() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /** Returns the caller of this exchange, who may have waited since the connection was accepted if this is its first request. */
    public Caller caller() {
        return new Caller() {
            @Override
            public void onLeft(final Runnable listener) {
                onCallerLeft(listener);
            }

            @Override
            public long possibleWaitMicros() {
                return ClientDisconnects.firstRequestWaitMicros(request);
            }
        };
    }

    /**
     * Calls the listener, on a thread of the server, if the caller closes its side of the connection before the reply. Jetty doesn't read
     * while a request is served, so {@link #onDisconnect} isn't called then.
     */
    private void onCallerLeft(final Runnable listener) {
        synchronized (watchLock) {
            if (!isReplied.get()) {
                ClientDisconnects.watch(request, isReset -> listener.run());
            }
        }
    }

    private void unwatch() {
        synchronized (watchLock) {
            ClientDisconnects.unwatch(request);
        }
    }

    /** Replies with a value as JSON. */
    public void reply(final int status, final Map<String, ?> value) {
        reply(status, value, Map.of());
    }

    /** Replies with a value as JSON and with headers. */
    public void reply(final int status, final Map<String, ?> value, final Map<String, String> headers) {
        replyJson(status, JsonDocument.write(value), headers);
    }

    /** Replies with already encoded JSON and with headers. */
    public void replyJson(final int status, final String text, final Map<String, String> headers) {
        send(status, JSON, text, headers);
    }

    /** Replies with plain text. */
    public void replyText(final String text) {
        replyText("text/plain; charset=utf-8", text, Map.of());
    }

    /** Replies with text of a content type and with headers. */
    public void replyText(final String contentType, final String text, final Map<String, String> headers) {
        send(OK, contentType, text, headers);
    }

    /**
     * Writes a part of a reply that is a stream of JSON lines, and then calls one of the callbacks on a thread of the server. A last part
     * is ignored, without a callback, if the exchange was replied to already.
     *
     * @param isLast whether this part completes the reply
     */
    public void writeLines(
            final String lines, final boolean isLast, final Runnable onWritten, final Runnable onFailed) {
        if (isStreaming.compareAndSet(false, true)) {
            response.setStatus(OK);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON_LINES);
        }
        if (isLast && !isReplied.compareAndSet(false, true)) {
            return;
        }
        response.write(
                isLast,
                encode(lines),
                Callback.from(
                        () -> {
                            onWritten.run();
                            if (isLast) {
                                callback.succeeded();
                            }
                        },
                        failure -> {
                            onFailed.run();
                            if (isReplied.compareAndSet(false, true) || isLast) {
                                callback.failed(failure);
                            }
                        }));
    }

    private void send(
            final int status, final String contentType, final String text, final Map<String, String> headers) {
        if (!isReplied.compareAndSet(false, true)) {
            return;
        }
        unwatch();
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        headers.forEach((name, value) -> response.getHeaders().put(name, value));
        response.write(true, encode(text), callback);
    }

    private static ByteBuffer encode(final String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
