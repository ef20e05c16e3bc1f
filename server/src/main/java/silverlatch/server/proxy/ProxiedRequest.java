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
 * A client's request at the proxy, with its current attempt at a worker. Only the current attempt may add to the response; output
 * of earlier attempts is dropped. A resumable stream may continue with the next attempt after a complete event; any other failure
 * of a committed response aborts it. Called by the router's event loop and by the threads of the HTTP client and server; the
 * object's lock guards its state.
 */
final class ProxiedRequest {
    /**
     * A client that closes its side of the connection within this time of its request is taken to have half-closed it, in
     * microseconds: some clients that send no second request do that and still read the response. A client that gives up on a
     * request waits longer.
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

    /** Creates a request that was read completely and has no attempt yet; the response has no status and headers. */
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

    /** Returns the id that the client gave this request. */
    String requestId() {
        return requestId;
    }

    /** Returns the request's HTTP method. */
    String method() {
        return request.getMethod();
    }

    /** Returns whether bytes of a response have been handed to the client's connection. */
    synchronized boolean isCommitted() {
        return response.isCommitted();
    }

    /**
     * Starts an attempt at a worker and cancels the current one, if there is one. If the request has ended, it notifies the router
     * instead that the client disconnected; if the response is committed and can't be resumed, it aborts the response.
     */
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

    /** Cancels the attempt with this id, if it is the current one. */
    synchronized void cancelAttempt(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId).ifPresent(current -> {
            current.cancel();
            exchange = Optional.empty();
        });
    }

    /** Replies with a rejection: the request was not executed and never will be. */
    synchronized void reject(final RoutingEffect.Reject reject) {
        if (reject.statusCode() == HttpStatus.UNAUTHORIZED_401 && !ended && !response.isCommitted()) {
            response.requestCredentials(proxy.headerNames().keyScheme());
        }
        endWithText(reject.statusCode(), reject.retryAfter(), reject.reason());
    }

    /** Replies with a failure that leaves open whether the request was executed; a committed response is aborted. */
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

    /** Forwards the worker's error response that the attempt with this id received, with its status, headers and body. */
    synchronized void forwardFailure(final long attemptId) {
        exchange.filter(current -> current.attemptId() == attemptId && !ended && !response.isCommitted())
                .ifPresent(current -> {
                    ended = true;
                    response.resetHead();
                    current.response().ifPresent(failure -> response.forwardFailure(failure, current.failureBody()));
                    proxy.postToRouter(router -> router.responseCompleted(attemptId, false, EventLoop.nowMicros()));
                });
    }

    /** Forwards status and headers of a success; returns false if the attempt is no longer the current one. */
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
     * Forwards a part of the body and advances the stream to a position. Calls back when the part is written. Returns false, and
     * never calls back, if the attempt is no longer the current one.
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

    /** Forwards the rest of a complete body and completes the response. */
    synchronized void forwardEnd(final WorkerExchange source, final byte[] rest) {
        if (isCurrent(source)) {
            enqueueWrite(rest, true, () -> {
                proxy.complete(callId);
                proxy.postToRouter(router -> router.responseCompleted(source.attemptId(), true, EventLoop.nowMicros()));
            });
        }
    }

    /** Returns whether this is the current exchange; it may have been cancelled after its bytes were received. */
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
     * Handles that the client closed its side of the connection while the request is in progress. The request is cancelled, unless
     * the client closed so early that it counts as a half-close. A request that may not be repeated and may have reached a worker
     * runs to completion without further attempts: its client may only have half-closed the connection, and could otherwise never
     * learn the outcome.
     *
     * @param isReset whether the connection was reset, so that the client reads nothing more
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
            onClientFailed(new EofException("the client closed the connection"));
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
