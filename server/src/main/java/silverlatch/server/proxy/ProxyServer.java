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
    private final Fields names;
    private final WorkerHttpClient workers;
    private final Predicate<Consumer<Router>> router;
    private final Set<ProxySafeguard> down;
    private final Map<Long, ProxiedRequest> requests = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();
    private volatile Optional<MultiListenerServer.Listener> door = Optional.empty();
    private volatile Optional<Value.RoutingConfiguration> limits = Optional.empty();
    private volatile int maxBodyBytes = 4 << 20;
    private volatile boolean closing;

    /** A proxy under these names; the router's event loop runs what the router is to be told, or says that it is full. */
    public ProxyServer(final Fields names, final WorkerHttpClient workers, final Predicate<Consumer<Router>> router) {
        this(names, workers, router, ProxySafeguard.NONE_DOWN);
    }

    ProxyServer(
            final Fields names,
            final WorkerHttpClient workers,
            final Predicate<Consumer<Router>> router,
            final Set<ProxySafeguard> down) {
        this.names = names;
        this.workers = workers;
        this.router = router;
        this.down = Set.copyOf(down);
    }

    /** How large a body may be from now on. */
    public void maxBodyBytes(final int bytes) {
        maxBodyBytes = bytes;
    }

    /** The door at which clients come in; it follows the limits of the configuration in force. */
    public void door(final MultiListenerServer.Listener at) {
        door = Optional.of(at);
        limits.ifPresent(now -> at.updateLimits(now.maxHeaderBytes(), now.idleTimeoutMicros() / 1000));
    }

    /** Takes the limits of the configuration in force, also for connections that rest now. */
    public void limits(final Value.RoutingConfiguration next) {
        if (limits.filter(next::equals).isEmpty()) {
            limits = Optional.of(next);
            maxBodyBytes = Math.min(MAX_BODY_BYTES, next.maxBodyBytes());
            door.ifPresent(at -> at.updateLimits(next.maxHeaderBytes(), next.idleTimeoutMicros() / 1000));
        }
    }

    /** From now on every response ends its connection. */
    public void close() {
        closing = true;
    }

    @Override
    public boolean handle(final Request request, final Response response, final Callback callback) {
        final long size = request.getLength();
        final int most = maxBodyBytes;
        if (size > most) {
            refuse(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "larger than " + most + " bytes");
        } else if (size == 0) {
            enter(request, response, callback, new byte[0]);
        } else {
            Content.Source.asByteArrayAsync(request, most).whenComplete((bytes, fault) -> {
                if (fault == null) {
                    enter(request, response, callback, bytes);
                } else {
                    unreadable(response, callback, most, fault);
                }
            });
        }
        return true;
    }

    private static void unreadable(
            final Response response, final Callback callback, final int most, final Throwable fault) {
        if (fault instanceof TimeoutException || fault.getCause() instanceof TimeoutException) {
            refuse(response, callback, HttpStatus.REQUEST_TIMEOUT_408, "it came too slowly");
        } else if (fault instanceof IllegalStateException) {
            refuse(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "larger than " + most + " bytes");
        } else {
            refuse(response, callback, HttpStatus.BAD_REQUEST_400, "cut short or not understood");
        }
    }

    /** Does what the router decided. */
    public void apply(final RoutingEffect effect) {
        switch (effect) {
            case RoutingEffect.StartAttempt s ->
                find(s.callId()).ifPresentOrElse(r -> r.send(s), () -> left(s.callId()));
            case RoutingEffect.Reject r -> take(r.callId()).ifPresent(p -> p.reject(r));
            case RoutingEffect.Fail f -> take(f.callId()).ifPresent(p -> p.fail(f));
            case RoutingEffect.ForwardResponse p -> take(p.callId()).ifPresent(r -> r.pass(p.attemptId()));
            case RoutingEffect.CancelAttempt c -> requests.values().forEach(r -> r.cut(c.attemptId()));
            case RoutingEffect.Log l -> EventLog.write(l.event(), l.text());
        }
    }

    /** How many requests are under way. */
    public int open() {
        return requests.size();
    }

    /** Forgets a request whose client is gone or was broken off. */
    void abandon(final long token) {
        take(token).ifPresent(gone -> left(token));
    }

    /** Forgets a request whose response was written whole. */
    void done(final long token) {
        requests.remove(token);
    }

    /** Tells the router; where its event loop is full, the request's deadline ends what would be left over. */
    boolean tell(final Consumer<Router> event) {
        return router.test(event);
    }

    Set<ProxySafeguard> down() {
        return down;
    }

    boolean closing() {
        return closing;
    }

    Fields names() {
        return names;
    }

    WorkerHttpClient workers() {
        return workers;
    }

    private void left(final long token) {
        tell(r -> r.clientDisconnected(token, EventLoop.nowMicros()));
    }

    private Optional<ProxiedRequest> find(final long token) {
        return Optional.ofNullable(requests.get(token));
    }

    private Optional<ProxiedRequest> take(final long token) {
        return Optional.ofNullable(requests.remove(token));
    }

    private void enter(final Request request, final Response response, final Callback callback, final byte[] body) {
        final String attemptId = header(request, names.attemptId()).orElse("");
        if (attemptId.isEmpty()) {
            refuse(response, callback, HttpStatus.BAD_REQUEST_400, names.attemptId() + " is missing");
            return;
        }
        final long token = tokens.incrementAndGet();
        final RoutedRequest routed = routed(token, attemptId, request);
        requests.put(token, new ProxiedRequest(this, token, attemptId, request, response, callback, body));
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(fault -> abandon(token));
        if (!tell(r -> r.requestArrived(routed, EventLoop.nowMicros()))) {
            take(token)
                    .ifPresent(r -> r.reject(new RoutingEffect.Reject(
                            token,
                            HttpStatus.SERVICE_UNAVAILABLE_503,
                            OVERLOAD_RETRY_MICROS,
                            "the event loop is full")));
        }
    }

    private RoutedRequest routed(final long token, final String attemptId, final Request request) {
        final String[] counts = header(request, names.tokens()).orElse("0,0").split(",");
        return new RoutedRequest(
                token,
                header(request, HttpHeader.HOST.asString()).orElse(""),
                Request.getPathInContext(request),
                attemptId,
                header(request, names.deadline()).flatMap(Fields::whole).orElse(DEFAULT_DEADLINE_MS) * 1000,
                Fields.parts(header(request, names.parts())),
                count(counts, 0),
                count(counts, 1));
    }

    private static int count(final String[] list, final int at) {
        return at < list.length
                ? Fields.whole(list[at]).map(n -> (int) Math.min(n, MAX_TOKENS)).orElse(0)
                : 0;
    }

    private static Optional<String> header(final Request request, final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static void refuse(final Response response, final Callback callback, final int status, final String why) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        Content.Sink.write(response, true, why + "\n", callback);
    }
}
