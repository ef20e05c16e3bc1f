package silverlatch.server.web;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import silverlatch.json.JsonDocument;

/** One HTTP exchange: what was asked, and the one reply to it. */
public final class HttpExchange {
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final AtomicBoolean isReplied = new AtomicBoolean();
    private final AtomicBoolean isStreaming = new AtomicBoolean();

    HttpExchange(final Request request, final Response response, final Callback callback, final byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    /** The method. */
    public String method() {
        return request.getMethod();
    }

    /** The path. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** The body. */
    public byte[] body() {
        return body.clone();
    }

    /** A header's value. */
    public Optional<String> header(final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** The bearer's secret, or empty. */
    public String bearerToken() {
        return header("Authorization")
                .filter(h -> h.startsWith("Bearer "))
                .map(h -> h.substring(7))
                .orElse("");
    }

    /** A part of the query. */
    public Optional<String> queryParameter(final String name) {
        final Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    /** Calls back when the other side is gone. */
    public void onDisconnect(final Runnable listener) {
        request.addFailureListener(failure -> listener.run());
    }

    /** Replies with JSON. */
    public void reply(final int status, final Map<String, ?> value, final Map<String, String> headers) {
        replyJson(status, JsonDocument.write(value), headers);
    }

    /** Replies with JSON that stands written already, to the letter. */
    public void replyJson(final int status, final String text, final Map<String, String> headers) {
        if (!isReplied.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        headers.forEach((k, v) -> response.getHeaders().put(k, v));
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Replies with JSON. */
    public void reply(final int status, final Map<String, ?> value) {
        reply(status, value, Map.of());
    }

    /** Replies with plain text. */
    public void replyText(final String text) {
        replyText("text/plain; charset=utf-8", text, Map.of());
    }

    /** Replies with a text as it is. */
    public void replyText(final String contentType, final String text, final Map<String, String> headers) {
        if (isReplied.compareAndSet(false, true)) {
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
            headers.forEach((k, v) -> response.getHeaders().put(k, v));
            response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
        }
    }

    /** Writes a part of a stream of JSON lines; then says whether it could be written. */
    public void writeLines(
            final String lines, final boolean isLast, final Runnable onWritten, final Runnable onFailed) {
        if (isStreaming.compareAndSet(false, true)) {
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/x-ndjson");
        }
        if (isLast && !isReplied.compareAndSet(false, true)) {
            return;
        }
        response.write(
                isLast,
                ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)),
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

    static Content.Source source(final Request request) {
        return request;
    }
}
