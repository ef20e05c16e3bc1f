package silverlatch.server.proxy;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import silverlatch.routing.RoutedRequest;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/** Where tickets come in by host and path: it takes them in whole, and does what passage decides. */
public final class ProxyServer extends Handler.Abstract.NonBlocking {
    private final Fields words;
    private final WorkerHttpClient lighter;
    private final Consumer<Consumer<Router>> duty;
    private final Map<Long, ProxiedRequest> voyages = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();
    private volatile int most = 4 << 20;
    private volatile boolean closing;

    /** A gate under these names; the duty runs what passage is to be told. */
    public ProxyServer(final Fields words, final WorkerHttpClient lighter, final Consumer<Consumer<Router>> duty) {
        this.words = words;
        this.lighter = lighter;
        this.duty = duty;
    }

    /** How large a body may be from now on. */
    public void most(final int bytes) {
        most = bytes;
    }

    /** From now on every reply ends its connection. */
    public void close() {
        closing = true;
    }

    @Override
    public boolean handle(final Request request, final Response response, final Callback callback) {
        final long size = request.getLength();
        if (size > most) {
            tell(response, callback, 413, "larger than " + most + " bytes", true);
            return true;
        }
        if (size == 0) {
            enter(request, response, callback, new byte[0]);
            return true;
        }
        Content.Source.asByteArrayAsync(request, most).whenComplete((bytes, fault) -> {
            if (fault == null) {
                enter(request, response, callback, bytes);
            } else if (fault instanceof java.util.concurrent.TimeoutException
                    || fault.getCause() instanceof java.util.concurrent.TimeoutException) {
                tell(response, callback, 408, "it came too slowly", true);
            } else {
                tell(
                        response,
                        callback,
                        fault instanceof IllegalStateException ? 413 : 400,
                        "larger than " + most + " bytes, or cut short",
                        true);
            }
        });
        return true;
    }

    /** Does what passage decided. */
    public void move(final RoutingEffect move) {
        switch (move) {
            case RoutingEffect.Send s -> find(s.token()).ifPresent(v -> v.send(s));
            case RoutingEffect.Reject r -> take(r.token()).ifPresent(v -> v.reject(r));
            case RoutingEffect.Fail f -> take(f.token()).ifPresent(v -> v.fail(f));
            case RoutingEffect.Pass p -> take(p.token()).ifPresent(v -> v.pass(p.job()));
            case RoutingEffect.Cut c -> voyages.values().forEach(v -> v.cut(c.job()));
            case RoutingEffect.Log l -> silverlatch.server.eventloop.Logs.write(l.event(), l.text());
        }
    }

    /** How many tickets are at the gate. */
    public int open() {
        return voyages.size();
    }

    void gone(final long token) {
        take(token).ifPresent(v -> duty.accept(p -> p.left(token, EventLoop.now())));
    }

    void done(final long token) {
        voyages.remove(token);
    }

    void tell(final Consumer<Router> word) {
        duty.accept(word);
    }

    boolean closing() {
        return closing;
    }

    Fields words() {
        return words;
    }

    WorkerHttpClient lighter() {
        return lighter;
    }

    private Optional<ProxiedRequest> find(final long token) {
        return Optional.ofNullable(voyages.get(token));
    }

    private Optional<ProxiedRequest> take(final long token) {
        return Optional.ofNullable(voyages.remove(token));
    }

    private void enter(final Request request, final Response response, final Callback callback, final byte[] body) {
        final long token = tokens.incrementAndGet();
        final Optional<String> host = Optional.ofNullable(request.getHeaders().get(HttpHeader.HOST));
        final String path = Request.getPathInContext(request);
        final String[] tokensOf = text(request, words.tokens()).orElse("0,0").split(",");
        final RoutedRequest fare = new RoutedRequest(
                token,
                host.orElse(""),
                path,
                text(request, words.ticket()).orElse(""),
                text(request, words.expiry()).flatMap(Fields::whole).orElse(60_000L) * 1000,
                Fields.parts(text(request, words.parts())),
                count(tokensOf, 0),
                count(tokensOf, 1));
        voyages.put(token, new ProxiedRequest(this, token, fare, request, response, callback, body));
        request.addFailureListener(f -> gone(token));
        duty.accept(p -> p.arrive(fare, EventLoop.now()));
    }

    private static int count(final String[] list, final int at) {
        return at < list.length
                ? Fields.whole(list[at]).map(n -> (int) Math.min(n, 10_000_000)).orElse(0)
                : 0;
    }

    private static Optional<String> text(final Request request, final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static void tell(
            final Response response, final Callback callback, final int code, final String why, final boolean close) {
        response.setStatus(code);
        if (close) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        Content.Sink.write(response, true, why + "\n", callback);
    }
}
