package silverlatch.server.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/**
 * A client's request at the proxy: the client's side, and the exchange with a worker that feeds the response now. Only
 * that exchange may add to the response; what others still bring is dropped. Until the first byte has been handed to the
 * client's connection, the head may still be replaced as a whole; after that a failure breaks the connection off.
 */
final class ProxiedRequest {
    private final ProxyServer proxy;
    private final long callId;
    private final String requestId;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private Optional<WorkerExchange> exchange = Optional.empty();
    private boolean headSet;
    private boolean committed;
    private boolean writeInProgress;
    private boolean ended;
    private String lastEventId = "";

    ProxiedRequest(
            final ProxyServer proxy,
            final long callId,
            final String requestId,
            final Request request,
            final Response response,
            final Callback callback,
            final byte[] body) {
        this.proxy = proxy;
        this.callId = callId;
        this.requestId = requestId;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    private record PendingWrite(byte[] bytes, boolean last, Runnable onWritten) {}

    /** The id that the client gave this attempt. */
    String requestId() {
        return requestId;
    }

    /** The request's method. */
    String method() {
        return request.getMethod();
    }

    /** Whether bytes of a response have been handed to the client's connection. */
    synchronized boolean committed() {
        return committed;
    }

    /** Sends it to a worker, in place of the exchange that there may be. */
    synchronized void send(final RoutingEffect.StartAttempt send) {
        exchange.ifPresent(WorkerExchange::cancel);
        exchange = Optional.empty();
        if (ended) {
            proxy.postToRouter(router -> router.clientDisconnected(callId, EventLoop.nowMicros()));
            return;
        }
        if (committed && lastEventId.isEmpty()) {
            proxy.abandon(callId);
            abort("the stream cannot be resumed");
            return;
        }
        clearHead();
        final WorkerExchange next = new WorkerExchange(proxy, this, send, request, body, lastEventId);
        exchange = Optional.of(next);
        next.start();
    }

    /** Gives up the exchange of this number, if it feeds the response. */
    synchronized void cancel(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId).ifPresent(current -> {
            current.cancel();
            exchange = Optional.empty();
        });
    }

    /** Answers that the request was not executed and never will be. */
    synchronized void reject(final RoutingEffect.Reject reject) {
        if (ended) {
            return;
        }
        exchange.ifPresent(WorkerExchange::cancel);
        if (committed) {
            abort(reject.reason());
            return;
        }
        ended = true;
        clearHead();
        response.setStatus(reject.statusCode());
        if (reject.retryAfter() > 0) {
            response.getHeaders()
                    .put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", reject.retryAfter() / 1e6));
        }
        writeText(reject.reason());
    }

    /** Answers with a failure that promises nothing; a response that has begun is broken off. */
    synchronized void fail(final RoutingEffect.Fail fail) {
        if (ended) {
            return;
        }
        exchange.ifPresent(WorkerExchange::cancel);
        if (committed) {
            abort(fail.reason());
            return;
        }
        ended = true;
        clearHead();
        response.setStatus(fail.statusCode());
        writeText(fail.reason());
    }

    /** Passes on a worker's whole failure with its own status and headers. */
    synchronized void pass(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId && !ended && !committed)
                .ifPresent(current -> {
                    ended = true;
                    committed = true;
                    clearHead();
                    current.response().ifPresent(from -> {
                        final byte[] bytes = current.failureBody();
                        setHead(from.getStatus(), from.getHeaders());
                        setContentLength(from, bytes.length);
                        response.write(true, ByteBuffer.wrap(bytes), callback);
                    });
                    proxy.postToRouter(router -> router.responseCompleted(attemptId, false, EventLoop.nowMicros()));
                });
    }

    private void setContentLength(final org.eclipse.jetty.client.Response from, final int bytes) {
        if (from.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            response.getHeaders().remove(HttpHeader.CONTENT_LENGTH);
        } else if (!method().equals("HEAD")) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes);
        }
    }

    /** Takes the head of a success; false if the exchange no longer feeds the response. */
    synchronized boolean begin(final WorkerExchange from, final int status, final HttpFields headers) {
        if (!isCurrent(from)) {
            return false;
        }
        if (!headSet) {
            setHead(status, headers);
            if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && status != HttpStatus.NO_CONTENT_204) {
                response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
            }
        }
        return true;
    }

    /** Takes a part of a body and the id of its last event; false if the exchange no longer feeds the response. */
    synchronized boolean pass(
            final WorkerExchange from, final byte[] bytes, final String eventId, final Runnable onWritten) {
        if (!isCurrent(from)) {
            return false;
        }
        lastEventId = eventId.isEmpty() ? lastEventId : eventId;
        enqueueWrite(bytes, false, onWritten);
        return true;
    }

    /** Takes the end of a whole body, with what is left of it. */
    synchronized void finish(final WorkerExchange from, final byte[] rest) {
        if (isCurrent(from)) {
            enqueueWrite(rest, true, () -> {
                proxy.complete(callId);
                proxy.postToRouter(router -> router.responseCompleted(from.attemptId(), true, EventLoop.nowMicros()));
            });
        }
    }

    /** Whether this exchange still feeds the response: it may have been given up while its bytes were on the way here. */
    private boolean isCurrent(final WorkerExchange from) {
        return !ended && exchange.filter(e -> e == from).isPresent();
    }

    private void clearHead() {
        if (headSet && !committed && !proxy.disabledSafeguards().contains(ProxySafeguard.WHOLE_HEAD)) {
            response.reset();
            headSet = false;
        }
    }

    private void abort(final String reason) {
        ended = true;
        callback.failed(new CancellationException(reason));
    }

    private void writeText(final String text) {
        committed = true;
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        closeIfStopping();
        response.write(true, ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)), callback);
    }

    private void setHead(final int status, final HttpFields from) {
        headSet = true;
        response.setStatus(status);
        EndToEndHeaders.copy(from, Set.of(), response.getHeaders());
        final long length = from.getLongField(HttpHeader.CONTENT_LENGTH);
        if (length >= 0 && !from.contains(HttpHeader.TRANSFER_ENCODING)) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
        }
        closeIfStopping();
    }

    private void closeIfStopping() {
        if (proxy.closing()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    private void enqueueWrite(final byte[] bytes, final boolean last, final Runnable onWritten) {
        pendingWrites.add(new PendingWrite(bytes, last, onWritten));
        writeNext();
    }

    private synchronized void writeNext() {
        if (writeInProgress || pendingWrites.isEmpty() || ended) {
            return;
        }
        final PendingWrite write = pendingWrites.poll();
        writeInProgress = true;
        committed = true;
        ended = write.last();
        response.write(
                write.last(),
                ByteBuffer.wrap(write.bytes()),
                Callback.from(() -> written(write), failure -> clientFailed(failure)));
    }

    private void written(final PendingWrite write) {
        synchronized (this) {
            writeInProgress = false;
        }
        write.onWritten().run();
        if (write.last()) {
            callback.succeeded();
        } else {
            writeNext();
        }
    }

    private void clientFailed(final Throwable failure) {
        synchronized (this) {
            ended = true;
            exchange.ifPresent(WorkerExchange::cancel);
        }
        callback.failed(failure);
        proxy.abandon(callId);
    }
}
