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
    private final long token;
    private final String attemptId;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final Deque<Part> queue = new ArrayDeque<>();
    private Optional<WorkerExchange> exchange = Optional.empty();
    private boolean headed;
    private boolean committed;
    private boolean writing;
    private boolean ended;
    private String lastEventId = "";

    ProxiedRequest(
            final ProxyServer proxy,
            final long token,
            final String attemptId,
            final Request request,
            final Response response,
            final Callback callback,
            final byte[] body) {
        this.proxy = proxy;
        this.token = token;
        this.attemptId = attemptId;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    private record Part(byte[] bytes, boolean last, Runnable then) {}

    /** The id that the client gave this attempt. */
    String attemptId() {
        return attemptId;
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
        exchange.ifPresent(WorkerExchange::drop);
        exchange = Optional.empty();
        if (ended) {
            proxy.tell(router -> router.clientDisconnected(token, EventLoop.nowMicros()));
            return;
        }
        if (committed && lastEventId.isEmpty()) {
            proxy.abandon(token);
            breakOff("the stream cannot be resumed");
            return;
        }
        clearHead();
        final WorkerExchange next = new WorkerExchange(proxy, this, send, request, body, lastEventId);
        exchange = Optional.of(next);
        next.start();
    }

    /** Gives up the exchange of this number, if it feeds the response. */
    synchronized void cut(final long job) {
        exchange.filter(e -> e.job() == job).ifPresent(e -> {
            e.drop();
            exchange = Optional.empty();
        });
    }

    /** Answers that the request was not executed and never will be. */
    synchronized void reject(final RoutingEffect.Reject reject) {
        if (ended) {
            return;
        }
        exchange.ifPresent(WorkerExchange::drop);
        if (committed) {
            breakOff(reject.reason());
            return;
        }
        ended = true;
        clearHead();
        response.setStatus(reject.statusCode());
        if (reject.retryAfter() > 0) {
            response.getHeaders()
                    .put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", reject.retryAfter() / 1e6));
        }
        text(reject.reason());
    }

    /** Answers with a failure that promises nothing; a response that has begun is broken off. */
    synchronized void fail(final RoutingEffect.Fail fail) {
        if (ended) {
            return;
        }
        exchange.ifPresent(WorkerExchange::drop);
        if (committed) {
            breakOff(fail.reason());
            return;
        }
        ended = true;
        clearHead();
        response.setStatus(fail.statusCode());
        text(fail.reason());
    }

    /** Passes on a worker's whole failure with its own status and headers. */
    synchronized void pass(final long job) {
        exchange.filter(e -> e.job() == job && !ended && !committed).ifPresent(e -> {
            ended = true;
            committed = true;
            clearHead();
            e.response().ifPresent(from -> {
                final byte[] bytes = e.failureBody();
                head(from.getStatus(), from.getHeaders());
                length(from, bytes.length);
                response.write(true, ByteBuffer.wrap(bytes), callback);
            });
            proxy.tell(router -> router.responseCompleted(job, false, EventLoop.nowMicros()));
        });
    }

    private void length(final org.eclipse.jetty.client.Response from, final int bytes) {
        if (from.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            response.getHeaders().remove(HttpHeader.CONTENT_LENGTH);
        } else if (!method().equals("HEAD")) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes);
        }
    }

    /** Takes the head of a success; false if the exchange no longer feeds the response. */
    synchronized boolean begin(final WorkerExchange from, final int status, final HttpFields headers) {
        if (!feeds(from)) {
            return false;
        }
        if (!headed) {
            head(status, headers);
            if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && status != HttpStatus.NO_CONTENT_204) {
                response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
            }
        }
        return true;
    }

    /** Takes a part of a body and the id of its last event; false if the exchange no longer feeds the response. */
    synchronized boolean pass(
            final WorkerExchange from, final byte[] bytes, final String eventId, final Runnable then) {
        if (!feeds(from)) {
            return false;
        }
        lastEventId = eventId.isEmpty() ? lastEventId : eventId;
        write(bytes, false, then);
        return true;
    }

    /** Takes the end of a whole body, with what is left of it. */
    synchronized void finish(final WorkerExchange from, final byte[] rest) {
        if (feeds(from)) {
            write(rest, true, () -> {
                proxy.done(token);
                proxy.tell(router -> router.responseCompleted(from.job(), true, EventLoop.nowMicros()));
            });
        }
    }

    /** Whether this exchange still feeds the response: it may have been given up while its bytes were on the way here. */
    private boolean feeds(final WorkerExchange from) {
        return !ended && exchange.filter(e -> e == from).isPresent();
    }

    private void clearHead() {
        if (headed && !committed && !proxy.down().contains(ProxySafeguard.WHOLE_HEAD)) {
            response.reset();
            headed = false;
        }
    }

    private void breakOff(final String why) {
        ended = true;
        callback.failed(new CancellationException(why));
    }

    private void text(final String text) {
        committed = true;
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        closeIfStopping();
        response.write(true, ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)), callback);
    }

    private void head(final int status, final HttpFields from) {
        headed = true;
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

    private void write(final byte[] bytes, final boolean last, final Runnable then) {
        queue.add(new Part(bytes, last, then));
        pump();
    }

    private synchronized void pump() {
        if (writing || queue.isEmpty() || ended) {
            return;
        }
        final Part part = queue.poll();
        writing = true;
        committed = true;
        ended = part.last();
        response.write(
                part.last(),
                ByteBuffer.wrap(part.bytes()),
                Callback.from(() -> written(part), fault -> clientFailed(fault)));
    }

    private void written(final Part part) {
        synchronized (this) {
            writing = false;
        }
        part.then().run();
        if (part.last()) {
            callback.succeeded();
        } else {
            pump();
        }
    }

    private void clientFailed(final Throwable fault) {
        synchronized (this) {
            ended = true;
            exchange.ifPresent(WorkerExchange::drop);
        }
        callback.failed(fault);
        proxy.abandon(token);
    }
}
