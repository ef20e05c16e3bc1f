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
    private final AtomicBoolean begun = new AtomicBoolean();
    private final AtomicBoolean over = new AtomicBoolean();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final EventStreamSplitter events = new EventStreamSplitter();
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
        final long left = send.timeout() / 1000;
        request = proxy.workers()
                .newRequest(send.address(), from.getMethod(), from.getHttpURI().getPathQuery())
                .headers(to -> headers(from.getHeaders(), lastEventId, to))
                .onRequestBegin(sent -> begun.set(true))
                .onResponseHeaders(this::head)
                .onResponseContentAsync(this::content)
                .timeout(left + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS)
                .idleTimeout(left + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS);
        final HttpFields given = from.getHeaders();
        if (body.length > 0
                || given.contains(HttpHeader.CONTENT_LENGTH)
                || given.contains(HttpHeader.TRANSFER_ENCODING)) {
            request.body(new BytesRequestContent(given.get(HttpHeader.CONTENT_TYPE), body));
        }
    }

    private void headers(final HttpFields from, final String lastEventId, final HttpFields.Mutable to) {
        final Fields names = proxy.names();
        to.clear();
        EndToEndHeaders.copy(from, names.own(), to);
        to.put(names.deadline(), "" + Math.max(1, send.timeout() / 1000));
        to.put(names.expectedWorker(), send.worker());
        to.put(names.rank(), "" + Math.min(MAX_RANK, send.rank()));
        if (!lastEventId.isEmpty()) {
            to.put("Last-Event-Id", lastEventId);
        }
    }

    /** The router's number of this sending. */
    long job() {
        return send.attemptId();
    }

    /** Sends it. */
    void start() {
        request.send(result -> complete(result.isSucceeded()));
    }

    /** Gives it up; nothing of it is passed on or told from now on, and its connection is closed. */
    void drop() {
        if (over.compareAndSet(false, true)) {
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
                proxy.down(), proxy.names(), owner.attemptId(), owner.method(), from.getStatus(), from.getHeaders());
        if (head instanceof WorkerResponseHead.Unusable unusable) {
            from.abort(new CancellationException(unusable.reason()));
            return;
        }
        if (success() && !over.get() && owner.begin(this, from.getStatus(), from.getHeaders())) {
            final Optional<Router.ReportedLoad> load = load(from);
            proxy.tell(router -> router.responseStarted(send.attemptId(), load, EventLoop.nowMicros()));
        }
    }

    private void content(final Response from, final Content.Chunk chunk, final Runnable more) {
        final byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        if (over.get() || head instanceof WorkerResponseHead.Unusable) {
            more.run();
        } else if (success()) {
            pass(bytes, more);
        } else {
            failureBodyTooLarge |= failureBody.size() + bytes.length > MAX_FAILURE_BODY_BYTES;
            if (!failureBodyTooLarge) {
                failureBody.writeBytes(bytes);
            }
            more.run();
        }
    }

    private void pass(final byte[] bytes, final Runnable more) {
        final byte[] ready = send.stream() && !send.once() ? events.take(bytes) : bytes;
        if (ready.length == 0) {
            more.run();
            return;
        }
        proxy.tell(router -> router.eventForwarded(send.attemptId(), EventLoop.nowMicros()));
        if (!owner.pass(this, ready, events.last(), more)) {
            more.run();
        }
    }

    private void complete(final boolean whole) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        if (!whole) {
            broken();
            return;
        }
        switch (head) {
            case WorkerResponseHead.Success success -> owner.finish(this, events.rest());
            case WorkerResponseHead.NotExecuted notExecuted -> failed(FailurePoint.NOT_RUN);
            case WorkerResponseHead.Misdirected misdirected -> failed(FailurePoint.STRANGER);
            case WorkerResponseHead.Failure failure -> failure();
            case WorkerResponseHead.Unusable unusable -> broken();
        }
    }

    private void failure() {
        if (owner.committed() || failureBodyTooLarge) {
            broken();
            return;
        }
        response.ifPresent(from -> {
            final Optional<Router.ReportedLoad> load = load(from);
            proxy.tell(router -> router.errorResponse(send.attemptId(), from.getStatus(), load, EventLoop.nowMicros()));
        });
    }

    private void broken() {
        final FailurePoint sent = owner.committed() ? FailurePoint.BEGUN : FailurePoint.SENT;
        final boolean known = begun.get() && !proxy.down().contains(ProxySafeguard.SENT_MAY_HAVE_RUN);
        failed(known ? sent : FailurePoint.UNSENT);
    }

    private void failed(final FailurePoint point) {
        proxy.tell(router -> router.attemptFailed(send.attemptId(), point, EventLoop.nowMicros()));
    }

    private boolean success() {
        return head instanceof WorkerResponseHead.Success;
    }

    private Optional<Router.ReportedLoad> load(final Response from) {
        return Fields.load(
                Optional.ofNullable(from.getHeaders().get(proxy.names().load())));
    }
}
