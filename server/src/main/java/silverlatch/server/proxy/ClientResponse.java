package silverlatch.server.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import silverlatch.server.web.ClientDisconnects;

/**
 * The response to a client. It is committed when its first bytes are handed to the client's connection: until then its status
 * and headers may be replaced as a whole; after that it can only be completed or aborted. Guarded by the lock of the
 * {@link ProxiedRequest} that owns it.
 */
final class ClientResponse {
    private static final double MICROS_PER_SECOND = 1e6;
    private final Response response;
    private final Callback callback;
    private final BooleanSupplier isClosing;
    private final boolean keepsStaleHead;
    private boolean headSet;
    private boolean committed;

    /** Creates a response without status and headers; the supplier returns whether the connection must be closed after it. */
    ClientResponse(
            final Response response,
            final Callback callback,
            final BooleanSupplier isClosing,
            final Set<ProxySafeguard> disabledSafeguards) {
        this.response = response;
        this.callback = callback;
        this.isClosing = isClosing;
        this.keepsStaleHead = disabledSafeguards.contains(ProxySafeguard.HEAD_RESET);
    }

    boolean isCommitted() {
        return committed;
    }

    /** Discards the status and headers that an earlier attempt set, unless the response is committed. */
    void resetHead() {
        if (headSet && !committed && !keepsStaleHead) {
            response.reset();
            headSet = false;
        }
    }

    /** Sets status and headers from a worker's successful response, unless they are set already. */
    void forwardHead(final int status, final HttpFields headers) {
        if (headSet) {
            return;
        }
        setHead(status, headers);
        if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && status != HttpStatus.NO_CONTENT_204) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /** Writes a part of the body and commits the response; the callback is called once, possibly on another thread. */
    void write(final byte[] bytes, final boolean isLast, final Callback onWritten) {
        committed = true;
        if (isLast) {
            ClientDisconnects.unwatch(response.getRequest());
        }
        response.write(isLast, ByteBuffer.wrap(bytes), onWritten);
    }

    /** Forwards a worker's error response with its status, headers and body, and completes the response. */
    void forwardFailure(final org.eclipse.jetty.client.Response failure, final byte[] body) {
        committed = true;
        ClientDisconnects.unwatch(response.getRequest());
        setHead(failure.getStatus(), failure.getHeaders());
        setContentLength(failure, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Sets the WWW-Authenticate header of the reply that follows to the scheme of the missing credentials. */
    void requestCredentials(final String scheme) {
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, scheme);
    }

    /** Replies with a text of the proxy itself and completes the response; 0 microseconds omit the Retry-After header. */
    void replyText(final int status, final long retryAfterMicros, final String text) {
        resetHead();
        committed = true;
        ClientDisconnects.unwatch(response.getRequest());
        response.setStatus(status);
        final HttpFields.Mutable headers = response.getHeaders();
        if (retryAfterMicros > 0) {
            headers.put(
                    HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND));
        }
        headers.put(HttpHeader.CONTENT_TYPE, "text/plain");
        closeConnectionIfClosing();
        response.write(true, ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Marks the committed and fully written response as complete. */
    void complete() {
        callback.succeeded();
    }

    /** Closes the client's connection without completing the response. */
    void abort(final String reason) {
        abort(new CancellationException(reason));
    }

    /** Closes the client's connection without completing the response. */
    void abort(final Throwable failure) {
        callback.failed(failure);
    }

    private void setHead(final int status, final HttpFields headers) {
        headSet = true;
        response.setStatus(status);
        EndToEndHeaders.copy(headers, field -> false, response.getHeaders());
        final long length = headers.getLongField(HttpHeader.CONTENT_LENGTH);
        if (length >= 0 && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
        }
        closeConnectionIfClosing();
    }

    /**
     * Sets Content-Length to the size of the body. A response to HEAD keeps the length that the worker sent; a 304 response has
     * neither body nor length.
     */
    private void setContentLength(final org.eclipse.jetty.client.Response from, final int bodyBytes) {
        if (from.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            response.getHeaders().remove(HttpHeader.CONTENT_LENGTH);
        } else if (!HttpMethod.HEAD.asString().equals(response.getRequest().getMethod())) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bodyBytes);
        }
    }

    private void closeConnectionIfClosing() {
        if (isClosing.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }
}
