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
import silverlatch.server.web.ClientDisconnects;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Value;

/**
 * The HTTP handler of the reverse proxy, which routes requests by host and path. It reads each request completely, passes it to
 * the router, and carries out the router's decisions. Handler methods run on the threads of the HTTP server and don't block;
 * {@link #apply} is called on the router's event loop.
 */
public final class ProxyServer extends Handler.Abstract.NonBlocking {
    private static final int MAX_CONFIGURABLE_BODY_BYTES = 32 << 20;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;
    private static final long OVERLOAD_RETRY_MICROS = 500_000;
    private static final long MICROS_PER_MILLI = 1_000L;
    private final ProxyHeaderNames headerNames;
    private final RoutedRequestReader routedRequestReader;
    private final WorkerRequestFactory workerRequestFactory;
    private final Predicate<Consumer<Router>> routerLoop;
    private final Set<ProxySafeguard> disabledSafeguards;
    private final Map<Long, ProxiedRequest> requestsByCallId = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();
    private volatile Optional<MultiListenerServer.Listener> listener = Optional.empty();
    private volatile Optional<Value.RoutingConfiguration> limits = Optional.empty();
    private volatile int maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
    private volatile boolean closesConnections;

    /**
     * Creates a proxy.
     *
     * @param headerNames  the names of its header fields
     * @param workerClient the HTTP client for workers; the caller starts it before the first request, and stops it
     * @param routerLoop   runs a task with the router on the router's event loop; returns false if the loop's queue is full
     */
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
        this.routedRequestReader = new RoutedRequestReader(headerNames);
        this.workerRequestFactory = new WorkerRequestFactory(workerClient, headerNames);
        this.routerLoop = routerLoop;
        this.disabledSafeguards = Set.copyOf(disabledSafeguards);
    }

    /** Sets the maximum size of a request body in bytes; the next {@link #updateLimits} overrides it. */
    void setMaxBodyBytes(final int bytes) {
        maxBodyBytes = bytes;
    }

    /** Sets the listener to which clients connect, and applies the limits of the configuration in force to it. */
    public void setListener(final MultiListenerServer.Listener newListener) {
        listener = Optional.of(newListener);
        limits.ifPresent(current -> updateListener(newListener, current));
    }

    /** Applies the limits of the configuration in force, also to currently idle connections. Called on the event loop. */
    public void updateLimits(final Value.RoutingConfiguration configuration) {
        if (limits.filter(configuration::equals).isEmpty()) {
            limits = Optional.of(configuration);
            maxBodyBytes = Math.min(MAX_CONFIGURABLE_BODY_BYTES, configuration.maxBodyBytes());
            listener.ifPresent(opened -> updateListener(opened, configuration));
        }
    }

    private static void updateListener(
            final MultiListenerServer.Listener listener, final Value.RoutingConfiguration configuration) {
        listener.updateLimits(configuration.maxHeaderBytes(), configuration.idleTimeoutMicros() / MICROS_PER_MILLI);
    }

    /** Makes every further response close its connection; requests are still served. */
    public void closeConnectionsAfterResponses() {
        closesConnections = true;
    }

    @Override
    public boolean handle(final Request request, final Response response, final Callback callback) {
        final long contentLength = request.getLength();
        final int limitBytes = maxBodyBytes;
        if (contentLength > limitBytes) {
            rejectTooLarge(response, callback, limitBytes);
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
            rejectTooLarge(response, callback, limitBytes);
        } else {
            reject(response, callback, HttpStatus.BAD_REQUEST_400, "cut short or not understood");
        }
    }

    private static void rejectTooLarge(final Response response, final Callback callback, final int limitBytes) {
        reject(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "larger than " + limitBytes + " bytes");
    }

    /** Rejects a request before its id was read, and closes its connection, as unread bytes of the request may follow. */
    private static void reject(
            final Response response, final Callback callback, final int status, final String reason) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        Content.Sink.write(response, true, reason + "\n", callback);
    }

    private void admit(final Request request, final Response response, final Callback callback, final byte[] body) {
        final Optional<String> requestId = routedRequestReader.requestId(request);
        if (requestId.isEmpty()) {
            reject(response, callback, HttpStatus.BAD_REQUEST_400, headerNames.requestId() + " is missing");
            return;
        }
        final long callId = lastCallId.incrementAndGet();
        final RoutedRequest routed = routedRequestReader.read(callId, requestId.get(), request);
        final ClientResponse clientResponse =
                new ClientResponse(response, callback, () -> closesConnections, disabledSafeguards);
        final ProxiedRequest proxied = new ProxiedRequest(this, callId, requestId.get(), request, clientResponse, body);
        requestsByCallId.put(callId, proxied);
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(failure -> abandon(callId));
        ClientDisconnects.watch(request, proxied::onClientClosed);
        if (!postToRouter(router -> router.requestArrived(routed, EventLoop.nowMicros()))) {
            rejectAsOverloaded(callId);
        }
    }

    private void rejectAsOverloaded(final long callId) {
        final RoutingEffect.Reject reject = new RoutingEffect.Reject(
                callId, HttpStatus.SERVICE_UNAVAILABLE_503, OVERLOAD_RETRY_MICROS, "the event loop is full");
        remove(callId).ifPresent(request -> request.reject(reject));
    }

    /** Carries out a decision of the router; ignores a decision about a request that has ended. */
    public void apply(final RoutingEffect effect) {
        switch (effect) {
            case RoutingEffect.StartAttempt attempt ->
                find(attempt.callId())
                        .ifPresentOrElse(
                                request -> request.startAttempt(attempt),
                                () -> postClientDisconnected(attempt.callId()));
            case RoutingEffect.Reject reject -> remove(reject.callId()).ifPresent(request -> request.reject(reject));
            case RoutingEffect.Fail fail -> remove(fail.callId()).ifPresent(request -> request.fail(fail));
            case RoutingEffect.ForwardResponse forward ->
                remove(forward.callId()).ifPresent(request -> request.forwardFailure(forward.attemptId()));
            case RoutingEffect.CancelAttempt cancel ->
                requestsByCallId.values().forEach(request -> request.cancelAttempt(cancel.attemptId()));
            case RoutingEffect.Log entry -> EventLog.write(entry.event(), entry.text());
        }
    }

    /** Returns the number of requests whose response is not complete yet. */
    public int openRequests() {
        return requestsByCallId.size();
    }

    /** Removes a request whose client disconnected or whose response was aborted, and notifies the router. */
    void abandon(final long callId) {
        remove(callId).ifPresent(disconnected -> postClientDisconnected(callId));
    }

    /** Removes a request whose response was written completely. */
    void complete(final long callId) {
        requestsByCallId.remove(callId);
    }

    /**
     * Runs a task with the router on its event loop. Returns false if the loop's queue is full: the task is dropped then, and the
     * router ends the request at its deadline.
     */
    boolean postToRouter(final Consumer<Router> task) {
        return routerLoop.test(task);
    }

    Set<ProxySafeguard> disabledSafeguards() {
        return disabledSafeguards;
    }

    ProxyHeaderNames headerNames() {
        return headerNames;
    }

    WorkerRequestFactory workerRequestFactory() {
        return workerRequestFactory;
    }

    /** Notifies the router that the client closed the connection: the attempt in flight continues, but no further one is made. */
    void stopRetrying(final long callId) {
        postToRouter(router -> router.stopRetrying(callId));
    }

    private void postClientDisconnected(final long callId) {
        postToRouter(router -> router.clientDisconnected(callId, EventLoop.nowMicros()));
    }

    private Optional<ProxiedRequest> find(final long callId) {
        return Optional.ofNullable(requestsByCallId.get(callId));
    }

    private Optional<ProxiedRequest> remove(final long callId) {
        return Optional.ofNullable(requestsByCallId.remove(callId));
    }
}
