package silverlatch.server.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/**
 * A client's request at the proxy, and the attempt at a worker that feeds its response now. Only that attempt may add to the response;
 * what others still bring is dropped. A stream may go from one attempt to the next after a complete event; any other failure of a
 * committed response aborts it. Called by the router's event loop and by the threads of the HTTP client and server; the object's
 * lock guards its state.
 */
final class ProxiedRequest {
    /**
     * A client that closes its side this soon after its request has half-closed the connection, as some do that send no second
     * request, and still reads the response. One that gives up waits for longer. In microseconds.
     */
    private static final long HALF_CLOSE_WINDOW_MICROS = 25_000;

    private final ProxyServer proxy;
    private final long callId;
    private final String requestId;
    private final Request request;
    private final ClientResponse response;
    private final byte[] body;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private final long arrivedAt = EventLoop.nowMicros();
    private Optional<WorkerExchange> exchange = Optional.empty();
    private boolean writeInProgress;
    private boolean ended;
    private StreamPosition position = StreamPosition.START;

    /** A request that was read whole and has no attempt yet; the response has no head. */
    ProxiedRequest(
            final ProxyServer proxy,
            final long callId,
            final String requestId,
            final Request request,
            final ClientResponse response,
            final byte[] body) {
        this.proxy = proxy;
        this.callId = callId;
        this.requestId = requestId;
        this.request = request;
        this.response = response;
        this.body = body;
    }

    private record PendingWrite(byte[] bytes, boolean isLast, Runnable onWritten) {}

    /** The id that the client gave this request. */
    String requestId() {
        return requestId;
    }

    /** The request's method. */
    String method() {
        return request.getMethod();
    }

    /** Whether bytes of a response have been handed to the client's connection. */
    synchronized boolean isCommitted() {
        return response.isCommitted();
    }

    /** Starts an attempt at a worker, in place of the one that there may be. */
    synchronized void startAttempt(final RoutingEffect.StartAttempt attempt) {
        exchange.ifPresent(WorkerExchange::cancel);
        exchange = Optional.empty();
        if (ended) {
            proxy.postToRouter(router -> router.clientDisconnected(callId, EventLoop.nowMicros()));
            return;
        }
        if (response.isCommitted() && !position.isResumable()) {
            proxy.abandon(callId);
            abort("the stream cannot be resumed");
            return;
        }
        response.resetHead();
        final WorkerExchange newExchange = new WorkerExchange(proxy, this, attempt, request, body, position);
        exchange = Optional.of(newExchange);
        newExchange.start();
    }

    /** Cancels the attempt with this id, if it feeds the response. */
    synchronized void cancelAttempt(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId).ifPresent(current -> {
            current.cancel();
            exchange = Optional.empty();
        });
    }

    /** Replies that the request was not executed and never will be. */
    synchronized void reject(final RoutingEffect.Reject reject) {
        if (reject.statusCode() == HttpStatus.UNAUTHORIZED_401 && !ended && !response.isCommitted()) {
            response.requestCredentials(proxy.headerNames().keyScheme());
        }
        endWithText(reject.statusCode(), reject.retryAfter(), reject.reason());
    }

    /** Replies with a failure that promises nothing; a response that is committed is aborted. */
    synchronized void fail(final RoutingEffect.Fail fail) {
        endWithText(fail.statusCode(), 0, fail.reason());
    }

    private void endWithText(final int status, final long retryAfterMicros, final String reason) {
        if (ended) {
            return;
        }
        exchange.ifPresent(WorkerExchange::cancel);
        if (response.isCommitted()) {
            abort(reason);
            return;
        }
        ended = true;
        response.replyText(status, retryAfterMicros, reason);
    }

    /** Replies with the failure that the attempt with this id got, with the worker's own status and headers. */
    synchronized void forwardFailure(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId && !ended && !response.isCommitted())
                .ifPresent(current -> {
                    ended = true;
                    response.resetHead();
                    current.response().ifPresent(failure -> response.forwardFailure(failure, current.failureBody()));
                    proxy.postToRouter(router -> router.responseCompleted(attemptId, false, EventLoop.nowMicros()));
                });
    }

    /** Forwards the head of a success; false if the attempt no longer feeds the response. */
    synchronized boolean forwardHead(final WorkerExchange source, final int status, final HttpFields headers) {
        if (!isCurrent(source)) {
            return false;
        }
        response.forwardHead(status, headers);
        position = position.withWeightVersion(
                Optional.ofNullable(headers.get(proxy.headerNames().weightVersion())));
        return true;
    }

    /**
     * Forwards a part of the body, after which the stream is at a position. Returns false, without calling back, if the attempt no longer
     * feeds the response.
     */
    synchronized boolean forwardBody(
            final WorkerExchange source,
            final byte[] bytes,
            final StreamPosition newPosition,
            final Runnable onWritten) {
        if (!isCurrent(source)) {
            return false;
        }
        position = position.advancedTo(newPosition);
        enqueueWrite(bytes, false, onWritten);
        return true;
    }

    /** Forwards the rest of a complete body, and completes the response. */
    synchronized void forwardEnd(final WorkerExchange source, final byte[] rest) {
        if (isCurrent(source)) {
            enqueueWrite(rest, true, () -> {
                proxy.complete(callId);
                proxy.postToRouter(router -> router.responseCompleted(source.attemptId(), true, EventLoop.nowMicros()));
            });
        }
    }

    /** Whether this exchange still feeds the response: it may have been cancelled while its bytes were on the way here. */
    private boolean isCurrent(final WorkerExchange source) {
        return !ended && exchange.filter(current -> current == source).isPresent();
    }

    private void abort(final String reason) {
        ended = true;
        response.abort(reason);
    }

    private void enqueueWrite(final byte[] bytes, final boolean isLast, final Runnable onWritten) {
        pendingWrites.add(new PendingWrite(bytes, isLast, onWritten));
        writeNext();
    }

    private synchronized void writeNext() {
        if (writeInProgress || pendingWrites.isEmpty() || ended) {
            return;
        }
        final PendingWrite write = pendingWrites.poll();
        writeInProgress = true;
        ended = write.isLast();
        response.write(
                write.bytes(), write.isLast(), Callback.from(() -> onWriteCompleted(write), this::onClientFailed));
    }

    private void onWriteCompleted(final PendingWrite write) {
        synchronized (this) {
            writeInProgress = false;
        }
        write.onWritten().run();
        if (write.isLast()) {
            response.complete();
        } else {
            writeNext();
        }
    }

    /**
     * The client has closed its side of the connection while the request runs. Nothing more is done for it, but that a request which
     * may not be repeated and is at a worker runs to its end: its client may only have half-closed the connection, and could
     * never learn the outcome otherwise.
     */
    void onClientClosed(final boolean isReset) {
        if (!isReset && EventLoop.nowMicros() - arrivedAt < HALF_CLOSE_WINDOW_MICROS) {
            return;
        }
        final boolean hasEnded;
        final boolean mustRunToCompletion;
        synchronized (this) {
            hasEnded = ended;
            mustRunToCompletion =
                    exchange.filter(WorkerExchange::mustRunToCompletion).isPresent();
        }
        if (mustRunToCompletion) {
            proxy.stopRetrying(callId);
        } else if (!hasEnded) {
            onClientFailed(new EofException("the client has left"));
        }
    }

    private void onClientFailed(final Throwable failure) {
        synchronized (this) {
            ended = true;
            exchange.ifPresent(WorkerExchange::cancel);
        }
        response.abort(failure);
        proxy.abandon(callId);
    }
}
