package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import silverlatch.routing.FailurePoint;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/**
 * One sending of a request to one worker. It is sent once; what comes back is checked, handed to the request that it
 * feeds, and told to the router exactly once.
 */
final class WorkerExchange {
    private static final int MAX_FAILURE_BODY_BYTES = 256 << 10;
    private static final int TIMEOUT_SLACK_MS = 1_000;
    private static final int MAX_RANK = 9;
    private final ProxyServer proxy;
    private final ProxiedRequest owner;
    private final RoutingEffect.StartAttempt send;
    private final AtomicBoolean requestStarted = new AtomicBoolean();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final EventStreamSplitter eventSplitter = new EventStreamSplitter();
    private final Request request;
    private Optional<Response> response = Optional.empty();
    private WorkerResponseHead head = new WorkerResponseHead.Unusable("no head yet");
    private boolean failureBodyTooLarge;

    WorkerExchange(
            final ProxyServer proxy,
            final ProxiedRequest owner,
            final RoutingEffect.StartAttempt send,
            final org.eclipse.jetty.server.Request from,
            final byte[] body,
            final String lastEventId) {
        this.proxy = proxy;
        this.owner = owner;
        this.send = send;
        final long timeLeftMs = send.timeout() / 1000;
        request = proxy.workerClient()
                .newRequest(send.address(), from.getMethod(), from.getHttpURI().getPathQuery())
                .headers(to -> copyHeaders(from.getHeaders(), lastEventId, to))
                .onRequestBegin(sent -> requestStarted.set(true))
                .onResponseHeaders(this::head)
                .onResponseContentAsync(this::onContent)
                .timeout(timeLeftMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS)
                .idleTimeout(timeLeftMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS);
        final HttpFields clientHeaders = from.getHeaders();
        if (body.length > 0
                || clientHeaders.contains(HttpHeader.CONTENT_LENGTH)
                || clientHeaders.contains(HttpHeader.TRANSFER_ENCODING)) {
            request.body(new BytesRequestContent(clientHeaders.get(HttpHeader.CONTENT_TYPE), body));
        }
    }

    private void copyHeaders(final HttpFields from, final String lastEventId, final HttpFields.Mutable to) {
        final ProxyHeaderNames headerNames = proxy.headerNames();
        to.clear();
        EndToEndHeaders.copy(from, headerNames.namesSetByProxy(), to);
        to.put(headerNames.deadline(), "" + Math.max(1, send.timeout() / 1000));
        to.put(headerNames.expectedWorker(), send.worker());
        to.put(headerNames.priority(), "" + Math.min(MAX_RANK, send.rank()));
        if (!lastEventId.isEmpty()) {
            to.put("Last-Event-Id", lastEventId);
        }
    }

    /** The router's number of this sending. */
    long attemptId() {
        return send.attemptId();
    }

    /** Sends it. */
    void start() {
        request.send(result -> onComplete(result.isSucceeded()));
    }

    /** Gives it up; nothing of it is passed on or told from now on, and its connection is closed. */
    void cancel() {
        if (finished.compareAndSet(false, true)) {
            request.abort(new CancellationException("given up"));
        }
    }

    /** The worker's response; present once its head has come. */
    Optional<Response> response() {
        return response;
    }

    /** The body of a response that is a failure. */
    byte[] failureBody() {
        return failureBody.toByteArray();
    }

    private void head(final Response from) {
        response = Optional.of(from);
        head = WorkerResponseHead.read(
                proxy.disabledSafeguards(),
                proxy.headerNames(),
                owner.requestId(),
                owner.method(),
                from.getStatus(),
                from.getHeaders());
        if (head instanceof WorkerResponseHead.Unusable unusable) {
            from.abort(new CancellationException(unusable.reason()));
            return;
        }
        if (isSuccess() && !finished.get() && owner.begin(this, from.getStatus(), from.getHeaders())) {
            final Optional<Router.ReportedLoad> load = parseWorkerLoad(from);
            proxy.postToRouter(router -> router.responseStarted(send.attemptId(), load, EventLoop.nowMicros()));
        }
    }

    private void onContent(final Response from, final Content.Chunk chunk, final Runnable more) {
        final byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        if (finished.get() || head instanceof WorkerResponseHead.Unusable) {
            more.run();
        } else if (isSuccess()) {
            passContent(bytes, more);
        } else {
            failureBodyTooLarge |= failureBody.size() + bytes.length > MAX_FAILURE_BODY_BYTES;
            if (!failureBodyTooLarge) {
                failureBody.writeBytes(bytes);
            }
            more.run();
        }
    }

    private void passContent(final byte[] bytes, final Runnable more) {
        final byte[] ready = send.stream() && !send.once() ? eventSplitter.split(bytes) : bytes;
        if (ready.length == 0) {
            more.run();
            return;
        }
        proxy.postToRouter(router -> router.eventForwarded(send.attemptId(), EventLoop.nowMicros()));
        if (!owner.pass(this, ready, eventSplitter.lastEventId(), more)) {
            more.run();
        }
    }

    private void onComplete(final boolean succeeded) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        if (!succeeded) {
            reportBroken();
            return;
        }
        switch (head) {
            case WorkerResponseHead.Success success -> owner.finish(this, eventSplitter.remainder());
            case WorkerResponseHead.NotExecuted notExecuted -> reportFailed(FailurePoint.NOT_RUN);
            case WorkerResponseHead.Misdirected misdirected -> reportFailed(FailurePoint.STRANGER);
            case WorkerResponseHead.Failure failure -> reportFailureResponse();
            case WorkerResponseHead.Unusable unusable -> reportBroken();
        }
    }

    private void reportFailureResponse() {
        if (owner.committed() || failureBodyTooLarge) {
            reportBroken();
            return;
        }
        response.ifPresent(from -> {
            final Optional<Router.ReportedLoad> load = parseWorkerLoad(from);
            proxy.postToRouter(
                    router -> router.errorResponse(send.attemptId(), from.getStatus(), load, EventLoop.nowMicros()));
        });
    }

    private void reportBroken() {
        final FailurePoint sent = owner.committed() ? FailurePoint.BEGUN : FailurePoint.SENT;
        final boolean known =
                requestStarted.get() && !proxy.disabledSafeguards().contains(ProxySafeguard.SENT_MAY_HAVE_RUN);
        reportFailed(known ? sent : FailurePoint.UNSENT);
    }

    private void reportFailed(final FailurePoint point) {
        proxy.postToRouter(router -> router.attemptFailed(send.attemptId(), point, EventLoop.nowMicros()));
    }

    private boolean isSuccess() {
        return head instanceof WorkerResponseHead.Success;
    }

    private Optional<Router.ReportedLoad> parseWorkerLoad(final Response from) {
        return ProxyHeaderNames.workerLoad(
                Optional.ofNullable(from.getHeaders().get(proxy.headerNames().workerLoad())));
    }
}
