package silverlatch.server.proxy;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import silverlatch.routing.RoutedRequest;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Value;

/** Where requests come in by host and path: it reads them whole, and does what the router decides. */
public final class ProxyServer extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 32 << 20;
    private static final long DEFAULT_DEADLINE_MS = 60_000;
    private static final long OVERLOAD_RETRY_MICROS = 500_000;
    private static final int MAX_TOKENS = 10_000_000;
    private final ProxyHeaderNames headerNames;
    private final WorkerHttpClient workerClient;
    private final Predicate<Consumer<Router>> routerLoop;
    private final Set<ProxySafeguard> disabledSafeguards;
    private final Map<Long, ProxiedRequest> requestsByCallId = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();
    private volatile Optional<MultiListenerServer.Listener> listener = Optional.empty();
    private volatile Optional<Value.RoutingConfiguration> limits = Optional.empty();
    private volatile int maxBodyBytes = 4 << 20;
    private volatile boolean closing;

    /** A proxy under these names; the router's event loop runs what the router is to be told, or says that it is full. */
    public ProxyServer(
            final ProxyHeaderNames headerNames,
            final WorkerHttpClient workerClient,
            final Predicate<Consumer<Router>> routerLoop) {
        this(headerNames, workerClient, routerLoop, ProxySafeguard.NONE_DISABLED);
    }

    ProxyServer(
            final ProxyHeaderNames headerNames,
            final WorkerHttpClient workerClient,
            final Predicate<Consumer<Router>> routerLoop,
            final Set<ProxySafeguard> disabledSafeguards) {
        this.headerNames = headerNames;
        this.workerClient = workerClient;
        this.routerLoop = routerLoop;
        this.disabledSafeguards = Set.copyOf(disabledSafeguards);
    }

    /** How large a body may be from now on. */
    public void maxBodyBytes(final int bytes) {
        maxBodyBytes = bytes;
    }

    /** The door at which clients come in; it follows the limits of the configuration in force. */
    public void listener(final MultiListenerServer.Listener opened) {
        listener = Optional.of(opened);
        limits.ifPresent(now -> opened.updateLimits(now.maxHeaderBytes(), now.idleTimeoutMicros() / 1000));
    }

    /** Takes the limits of the configuration in force, also for connections that rest now. */
    public void limits(final Value.RoutingConfiguration next) {
        if (limits.filter(next::equals).isEmpty()) {
            limits = Optional.of(next);
            maxBodyBytes = Math.min(MAX_BODY_BYTES, next.maxBodyBytes());
            listener.ifPresent(at -> at.updateLimits(next.maxHeaderBytes(), next.idleTimeoutMicros() / 1000));
        }
    }

    /** From now on every response ends its connection. */
    public void close() {
        closing = true;
    }

    @Override
    public boolean handle(final Request request, final Response response, final Callback callback) {
        final long contentLength = request.getLength();
        final int limitBytes = maxBodyBytes;
        if (contentLength > limitBytes) {
            reject(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "larger than " + limitBytes + " bytes");
        } else if (contentLength == 0) {
            admit(request, response, callback, new byte[0]);
        } else {
            Content.Source.asByteArrayAsync(request, limitBytes).whenComplete((bytes, failure) -> {
                if (failure == null) {
                    admit(request, response, callback, bytes);
                } else {
                    rejectUnreadable(response, callback, limitBytes, failure);
                }
            });
        }
        return true;
    }

    private static void rejectUnreadable(
            final Response response, final Callback callback, final int limitBytes, final Throwable failure) {
        if (failure instanceof TimeoutException || failure.getCause() instanceof TimeoutException) {
            reject(response, callback, HttpStatus.REQUEST_TIMEOUT_408, "it came too slowly");
        } else if (failure instanceof IllegalStateException) {
            reject(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "larger than " + limitBytes + " bytes");
        } else {
            reject(response, callback, HttpStatus.BAD_REQUEST_400, "cut short or not understood");
        }
    }

    /** Does what the router decided. */
    public void apply(final RoutingEffect effect) {
        switch (effect) {
            case RoutingEffect.StartAttempt s ->
                find(s.callId()).ifPresentOrElse(r -> r.send(s), () -> postClientGone(s.callId()));
            case RoutingEffect.Reject r -> remove(r.callId()).ifPresent(p -> p.reject(r));
            case RoutingEffect.Fail f -> remove(f.callId()).ifPresent(p -> p.fail(f));
            case RoutingEffect.ForwardResponse p -> remove(p.callId()).ifPresent(r -> r.pass(p.attemptId()));
            case RoutingEffect.CancelAttempt c -> requestsByCallId.values().forEach(r -> r.cancel(c.attemptId()));
            case RoutingEffect.Log l -> EventLog.write(l.event(), l.text());
        }
    }

    /** How many requests are under way. */
    public int openRequests() {
        return requestsByCallId.size();
    }

    /** Forgets a request whose client is gone or was broken off. */
    void abandon(final long callId) {
        remove(callId).ifPresent(gone -> postClientGone(callId));
    }

    /** Forgets a request whose response was written whole. */
    void complete(final long callId) {
        requestsByCallId.remove(callId);
    }

    /** Tells the router; where its event loop is full, the request's deadline ends what would be left over. */
    boolean postToRouter(final Consumer<Router> event) {
        return routerLoop.test(event);
    }

    Set<ProxySafeguard> disabledSafeguards() {
        return disabledSafeguards;
    }

    boolean closing() {
        return closing;
    }

    ProxyHeaderNames headerNames() {
        return headerNames;
    }

    WorkerHttpClient workerClient() {
        return workerClient;
    }

    private void postClientGone(final long callId) {
        postToRouter(r -> r.clientDisconnected(callId, EventLoop.nowMicros()));
    }

    private Optional<ProxiedRequest> find(final long callId) {
        return Optional.ofNullable(requestsByCallId.get(callId));
    }

    private Optional<ProxiedRequest> remove(final long callId) {
        return Optional.ofNullable(requestsByCallId.remove(callId));
    }

    private void admit(final Request request, final Response response, final Callback callback, final byte[] body) {
        final String requestId = header(request, headerNames.requestId()).orElse("");
        if (requestId.isEmpty()) {
            reject(response, callback, HttpStatus.BAD_REQUEST_400, headerNames.requestId() + " is missing");
            return;
        }
        final long callId = lastCallId.incrementAndGet();
        final RoutedRequest routed = toRoutedRequest(callId, requestId, request);
        requestsByCallId.put(callId, new ProxiedRequest(this, callId, requestId, request, response, callback, body));
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(fault -> abandon(callId));
        if (!postToRouter(r -> r.requestArrived(routed, EventLoop.nowMicros()))) {
            remove(callId)
                    .ifPresent(r -> r.reject(new RoutingEffect.Reject(
                            callId,
                            HttpStatus.SERVICE_UNAVAILABLE_503,
                            OVERLOAD_RETRY_MICROS,
                            "the event loop is full")));
        }
    }

    private RoutedRequest toRoutedRequest(final long callId, final String requestId, final Request request) {
        final String[] counts =
                header(request, headerNames.tokenCounts()).orElse("0,0").split(",");
        return new RoutedRequest(
                callId,
                header(request, HttpHeader.HOST.asString()).orElse(""),
                Request.getPathInContext(request),
                requestId,
                header(request, headerNames.deadline())
                                .flatMap(ProxyHeaderNames::nonNegativeInteger)
                                .orElse(DEFAULT_DEADLINE_MS)
                        * 1000,
                ProxyHeaderNames.promptParts(header(request, headerNames.promptParts())),
                tokenCount(counts, 0),
                tokenCount(counts, 1));
    }

    private static int tokenCount(final String[] counts, final int index) {
        return index < counts.length
                ? ProxyHeaderNames.nonNegativeInteger(counts[index])
                        .map(n -> (int) Math.min(n, MAX_TOKENS))
                        .orElse(0)
                : 0;
    }

    private static Optional<String> header(final Request request, final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static void reject(
            final Response response, final Callback callback, final int status, final String reason) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        Content.Sink.write(response, true, reason + "\n", callback);
    }
}
