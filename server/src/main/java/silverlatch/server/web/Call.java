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
public final class Call {
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean begun = new AtomicBoolean();

    Call(final Request request, final Response response, final Callback callback, final byte[] body) {
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
    public String secret() {
        return header("Authorization")
                .filter(h -> h.startsWith("Bearer "))
                .map(h -> h.substring(7))
                .orElse("");
    }

    /** A part of the query. */
    public Optional<String> query(final String name) {
        final Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    /** Calls back when the other side is gone. */
    public void gone(final Runnable then) {
        request.addFailureListener(f -> then.run());
    }

    /** Replies with JSON. */
    public void reply(final int code, final Map<String, ?> value, final Map<String, String> headers) {
        json(code, JsonDocument.write(value), headers);
    }

    /** Replies with JSON that stands written already, to the letter. */
    public void json(final int code, final String text, final Map<String, String> headers) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(code);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        headers.forEach((k, v) -> response.getHeaders().put(k, v));
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Replies with JSON. */
    public void reply(final int code, final Map<String, ?> value) {
        reply(code, value, Map.of());
    }

    /** Replies with plain text. */
    public void text(final String text) {
        text("text/plain; charset=utf-8", text, Map.of());
    }

    /** Replies with a text as it is. */
    public void text(final String type, final String text, final Map<String, String> headers) {
        if (ended.compareAndSet(false, true)) {
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            headers.forEach((k, v) -> response.getHeaders().put(k, v));
            response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
        }
    }

    /** Writes a part of a stream of JSON lines; then says whether it could be written. */
    public void stream(final String lines, final boolean last, final Runnable good, final Runnable bad) {
        if (begun.compareAndSet(false, true)) {
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/x-ndjson");
        }
        if (last && !ended.compareAndSet(false, true)) {
            return;
        }
        response.write(
                last,
                ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)),
                Callback.from(
                        () -> {
                            good.run();
                            if (last) {
                                callback.succeeded();
                            }
                        },
                        x -> {
                            bad.run();
                            if (ended.compareAndSet(false, true) || last) {
                                callback.failed(x);
                            }
                        }));
    }

    static Content.Source source(final Request request) {
        return request;
    }
}
