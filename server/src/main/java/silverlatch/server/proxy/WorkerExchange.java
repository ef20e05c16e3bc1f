package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import silverlatch.routing.FailurePoint;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/**
 * One attempt to execute a request at one worker. The request is sent at most once. The response is validated and passed to the
 * {@link ProxiedRequest} that owns the attempt, and the outcome is reported to the router exactly once, unless the attempt is
 * cancelled. The handlers run on the threads of the HTTP client, one at a time.
 */
final class WorkerExchange {
    private static final int MAX_FAILURE_BODY_BYTES = 256 << 10;
    private final ProxyServer proxy;
    private final ProxiedRequest owner;
    private final RoutingEffect.StartAttempt attempt;
    private final boolean splitsEvents;
    private final AtomicBoolean requestStarted = new AtomicBoolean();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final EventStreamSplitter eventSplitter;
    private final Request request;
    private Optional<Response> response = Optional.empty();
    private WorkerResponseHead responseHead = new WorkerResponseHead.Unusable("no head yet");
    private boolean failureBodyTooLarge;

    /** Creates an attempt that is not sent yet; a stream is resumed after the position. */
    WorkerExchange(
            final ProxyServer proxy,
            final ProxiedRequest owner,
            final RoutingEffect.StartAttempt attempt,
            final org.eclipse.jetty.server.Request clientRequest,
            final byte[] body,
            final StreamPosition position) {
        this.proxy = proxy;
        this.owner = owner;
        this.attempt = attempt;
        this.eventSplitter = new EventStreamSplitter(proxy.headerNames().weightVersion());
        this.splitsEvents = attempt.streaming() && !attempt.executeAtMostOnce();
        this.request = proxy.workerRequestFactory()
                .create(attempt, clientRequest, body, position)
                .onRequestBegin(sent -> requestStarted.set(true))
                .onResponseHeaders(this::onHead)
                .onResponseContentAsync((from, chunk, demandMore) -> onContent(chunk, demandMore));
    }

    /** Returns the router's id of this attempt. */
    long attemptId() {
        return attempt.attemptId();
    }

    /** Sends the request. */
    void start() {
        request.send(result -> onComplete(result.isSucceeded()));
    }

    /** Cancels the attempt: nothing more of it is forwarded or reported, and its connection is closed. */
    void cancel() {
        if (finished.compareAndSet(false, true)) {
            request.abort(new CancellationException("the attempt was cancelled"));
        }
    }

    /**
     * Returns whether the attempt must not be cancelled when its client closes the connection: the request may have reached its
     * worker, can't be repeated, and its response is not a stream that the client reads as it arrives.
     */
    boolean mustRunToCompletion() {
        return requestStarted.get() && attempt.executeAtMostOnce() && !attempt.streaming();
    }

    /** Returns the worker's response; present once its status and headers were received. */
    Optional<Response> response() {
        return response;
    }

    /** Returns the body of an error response; complete once the router was notified of the response. */
    byte[] failureBody() {
        return failureBody.toByteArray();
    }

    private void onHead(final Response from) {
        response = Optional.of(from);
        responseHead = WorkerResponseHead.read(
                proxy.disabledSafeguards(),
                proxy.headerNames(),
                owner.requestId(),
                owner.method(),
                from.getStatus(),
                from.getHeaders());
        if (responseHead instanceof WorkerResponseHead.Unusable unusable) {
            from.abort(new CancellationException(unusable.reason()));
            return;
        }
        if (isSuccess() && !finished.get() && owner.forwardHead(this, from.getStatus(), from.getHeaders())) {
            final Optional<Router.ReportedLoad> load = reportedLoad(from);
            proxy.postToRouter(router -> router.responseStarted(attemptId(), load, EventLoop.nowMicros()));
        }
    }

    private void onContent(final Content.Chunk chunk, final Runnable demandMore) {
        final byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        if (finished.get() || responseHead instanceof WorkerResponseHead.Unusable) {
            demandMore.run();
        } else if (isSuccess()) {
            forwardContent(bytes, demandMore);
        } else {
            appendFailureBody(bytes);
            demandMore.run();
        }
    }

    /**
     * Forwards a part of the body, or only the complete events of a stream that may be resumed. More is read from the worker once
     * the forwarded bytes are written to the client.
     */
    private void forwardContent(final byte[] bytes, final Runnable demandMore) {
        final byte[] ready = splitsEvents ? eventSplitter.split(bytes) : bytes;
        if (ready.length == 0) {
            demandMore.run();
            return;
        }
        proxy.postToRouter(router -> router.eventForwarded(attemptId(), EventLoop.nowMicros()));
        if (!owner.forwardBody(this, ready, eventSplitter.position(), demandMore)) {
            demandMore.run();
        }
    }

    private void appendFailureBody(final byte[] bytes) {
        failureBodyTooLarge |= failureBody.size() + bytes.length > MAX_FAILURE_BODY_BYTES;
        if (!failureBodyTooLarge) {
            failureBody.writeBytes(bytes);
        }
    }

    private void onComplete(final boolean isSucceeded) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        if (!isSucceeded) {
            reportUnusableResponse();
            return;
        }
        switch (responseHead) {
            case WorkerResponseHead.Success success -> owner.forwardEnd(this, eventSplitter.remainder());
            case WorkerResponseHead.NotExecuted notExecuted -> reportFailed(FailurePoint.NOT_RUN);
            case WorkerResponseHead.Misdirected misdirected -> reportFailed(FailurePoint.STRANGER);
            case WorkerResponseHead.Failure failure -> reportFailureResponse();
            case WorkerResponseHead.Unusable unusable -> reportUnusableResponse();
        }
    }

    private void reportFailureResponse() {
        if (owner.isCommitted() || failureBodyTooLarge) {
            reportUnusableResponse();
            return;
        }
        response.ifPresent(from -> {
            final Optional<Router.ReportedLoad> load = reportedLoad(from);
            proxy.postToRouter(
                    router -> router.errorResponse(attemptId(), from.getStatus(), load, EventLoop.nowMicros()));
        });
    }

    /** Reports an attempt without a usable response. A request whose sending has begun counts as possibly executed. */
    private void reportUnusableResponse() {
        final boolean mayBeExecuted =
                requestStarted.get() && !proxy.disabledSafeguards().contains(ProxySafeguard.SENT_MAY_BE_EXECUTED);
        if (mayBeExecuted) {
            reportFailed(owner.isCommitted() ? FailurePoint.BEGUN : FailurePoint.SENT);
        } else {
            reportFailed(FailurePoint.UNSENT);
        }
    }

    private void reportFailed(final FailurePoint point) {
        proxy.postToRouter(router -> router.attemptFailed(attemptId(), point, EventLoop.nowMicros()));
    }

    private boolean isSuccess() {
        return responseHead instanceof WorkerResponseHead.Success;
    }

    private Optional<Router.ReportedLoad> reportedLoad(final Response from) {
        return Optional.ofNullable(from.getHeaders().get(proxy.headerNames().workerLoad()))
                .flatMap(HeaderValues::workerLoad);
    }
}
