package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import silverlatch.routing.FailurePoint;
import silverlatch.routing.RoutedRequest;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;

/** One ticket at the gate: the consumer's side, and the run at a worker that feeds it now. */
final class ProxiedRequest {
    private static final Set<String> HOP = hop();
    private static final int ILL = 256 << 10;
    private final ProxyServer gate;
    private final long token;
    private final RoutedRequest fare;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final Deque<Part> queue = new ArrayDeque<>();
    private Optional<Run> run = Optional.empty();
    private boolean headed;
    private boolean writing;
    private boolean ended;
    private String seen = "";

    ProxiedRequest(
            final ProxyServer gate,
            final long token,
            final RoutedRequest fare,
            final Request request,
            final Response response,
            final Callback callback,
            final byte[] body) {
        this.gate = gate;
        this.token = token;
        this.fare = fare;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    private record Part(byte[] bytes, boolean last, Runnable then) {}

    private static Set<String> hop() {
        final Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(
                "Connection",
                "Keep-Alive",
                "Transfer-Encoding",
                "TE",
                "Trailer",
                "Upgrade",
                "Proxy-Connection",
                "Proxy-Authenticate",
                "Proxy-Authorization",
                "Content-Length",
                "Expect"));
        return set;
    }

    /** Starts a run at a worker. */
    synchronized void send(final RoutingEffect.Send s) {
        if (ended) {
            gate.tell(p -> p.left(token, EventLoop.now()));
            return;
        }
        run.ifPresent(Run::drop);
        final Run next = new Run(s);
        run = Optional.of(next);
        next.start();
    }

    synchronized void cut(final long job) {
        run.filter(r -> r.send.job() == job).ifPresent(r -> {
            r.drop();
            run = Optional.empty();
        });
    }

    synchronized void reject(final RoutingEffect.Reject r) {
        if (!ended && !headed) {
            ended = true;
            response.setStatus(r.code());
            if (r.after() > 0) {
                response.getHeaders().put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", r.after() / 1e6));
            }
            words(r.why());
        }
    }

    synchronized void fail(final RoutingEffect.Fail f) {
        if (ended) {
            return;
        }
        ended = true;
        run.ifPresent(Run::drop);
        if (headed) {
            callback.failed(new CancellationException(f.why()));
        } else {
            response.setStatus(f.code());
            words(f.why());
        }
    }

    /** Passes on a reply that is no success. */
    synchronized void pass(final long job) {
        run.filter(r -> r.send.job() == job && !ended).ifPresent(r -> {
            ended = true;
            head(r.reply.getStatus(), r.reply.getHeaders());
            response.write(true, ByteBuffer.wrap(r.ill.toByteArray()), callback);
            gate.tell(p -> p.ended(job, false, EventLoop.now()));
        });
    }

    private void words(final String why) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        if (gate.closing()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.write(true, ByteBuffer.wrap((why + "\n").getBytes(StandardCharsets.UTF_8)), callback);
    }

    private void head(final int status, final HttpFields from) {
        headed = true;
        response.setStatus(status);
        final Set<String> named = named(from);
        for (final HttpField f : from) {
            if (!HOP.contains(f.getName()) && !named.contains(f.getName())) {
                response.getHeaders().add(f.getName(), f.getValue());
            }
        }
        final long length = from.getLongField(HttpHeader.CONTENT_LENGTH);
        if (length >= 0 && !from.contains(HttpHeader.TRANSFER_ENCODING)) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
        }
        if (gate.closing()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    private static Set<String> named(final HttpFields fields) {
        final Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(fields.getCSV(HttpHeader.CONNECTION, false));
        return set;
    }

    private synchronized void write(final byte[] bytes, final boolean last, final Runnable then) {
        queue.add(new Part(bytes, last, then));
        pump();
    }

    private synchronized void pump() {
        if (writing || queue.isEmpty() || ended) {
            return;
        }
        final Part part = queue.poll();
        writing = true;
        ended = part.last();
        response.write(
                part.last(),
                ByteBuffer.wrap(part.bytes()),
                Callback.from(
                        () -> {
                            synchronized (this) {
                                writing = false;
                            }
                            part.then().run();
                            if (part.last()) {
                                callback.succeeded();
                            } else {
                                pump();
                            }
                        },
                        fault -> {
                            synchronized (this) {
                                ended = true;
                                run.ifPresent(Run::drop);
                            }
                            callback.failed(fault);
                            gate.gone(token);
                        }));
    }

    /** One run of the ticket at one worker. */
    private final class Run {
        private final RoutingEffect.Send send;
        private final AtomicBoolean begun = new AtomicBoolean();
        private final AtomicBoolean over = new AtomicBoolean();
        private final ByteArrayOutputStream ill = new ByteArrayOutputStream();
        private final Events events = new Events();
        private org.eclipse.jetty.client.Request ask;
        private org.eclipse.jetty.client.Response reply;
        private boolean good;
        private boolean wrong;

        Run(final RoutingEffect.Send send) {
            this.send = send;
        }

        void start() {
            final HttpFields from = request.getHeaders();
            final Set<String> named = named(from);
            final Set<String> own = gate.words().own();
            ask = gate.lighter()
                    .ask(
                            send.address(),
                            request.getMethod(),
                            request.getHttpURI().getPathQuery())
                    .headers(h -> {
                        h.clear();
                        for (final HttpField f : from) {
                            if (!HOP.contains(f.getName())
                                    && !named.contains(f.getName())
                                    && !own.contains(f.getName())) {
                                h.add(f.getName(), f.getValue());
                            }
                        }
                        h.put(gate.words().expiry(), "" + Math.max(1, send.left() / 1000));
                        h.put(gate.words().expect(), send.worker());
                        h.put(gate.words().rank(), "" + Math.min(9, send.rank()));
                        if (!seen.isEmpty()) {
                            h.put("Last-Event-Id", seen);
                        }
                    })
                    .onRequestBegin(q -> begun.set(true))
                    .onResponseHeaders(this::headers)
                    .onResponseContentAsync(this::content)
                    .timeout(send.left() / 1000 + 1_000, java.util.concurrent.TimeUnit.MILLISECONDS)
                    .idleTimeout(send.left() / 1000 + 1_000, java.util.concurrent.TimeUnit.MILLISECONDS);
            if (body.length > 0
                    || from.contains(HttpHeader.CONTENT_LENGTH)
                    || from.contains(HttpHeader.TRANSFER_ENCODING)) {
                ask.body(new BytesRequestContent(from.get(HttpHeader.CONTENT_TYPE), body));
            }
            ask.send(result -> complete(result.isSucceeded()));
        }

        void drop() {
            if (over.compareAndSet(false, true)) {
                ask.abort(new CancellationException("cut"));
            }
        }

        private void headers(final org.eclipse.jetty.client.Response r) {
            reply = r;
            final HttpFields h = r.getHeaders();
            final Fields w = gate.words();
            final String mine =
                    Optional.ofNullable(request.getHeaders().get(w.ticket())).orElse("");
            final String theirs = Optional.ofNullable(h.get(w.ticket()))
                    .orElse(mine.isEmpty() || r.getStatus() / 100 != 2 ? mine : "?");
            good = r.getStatus() / 100 == 2 && h.contains(w.seal()) && !h.contains(HttpHeader.CONTENT_ENCODING);
            wrong = !theirs.equals(mine) || r.getStatus() / 100 == 2 && !good;
            if (wrong) {
                r.abort(new CancellationException("not this ticket's reply"));
                return;
            }
            final Optional<Router.Load> load = Fields.load(Optional.ofNullable(h.get(w.load())));
            if (good) {
                synchronized (ProxiedRequest.this) {
                    if (over.get() || !feeds()) {
                        return;
                    }
                    if (!headed) {
                        head(r.getStatus(), h);
                        if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && r.getStatus() != 204) {
                            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
                        }
                    }
                }
                gate.tell(p -> p.headed(send.job(), load, EventLoop.now()));
            }
        }

        private void content(
                final org.eclipse.jetty.client.Response r, final Content.Chunk chunk, final Runnable more) {
            final byte[] bytes = new byte[chunk.remaining()];
            chunk.getByteBuffer().get(bytes);
            if (over.get() || wrong) {
                more.run();
                return;
            }
            if (!good) {
                if (ill.size() + bytes.length <= ILL) {
                    ill.writeBytes(bytes);
                }
                more.run();
                return;
            }
            final byte[] ready = send.stream() && !send.once() ? events.take(bytes) : bytes;
            if (ready.length == 0) {
                more.run();
                return;
            }
            gate.tell(p -> p.heard(send.job(), EventLoop.now()));
            final boolean mine;
            synchronized (ProxiedRequest.this) {
                mine = feeds();
                if (mine) {
                    seen = events.last().isEmpty() ? seen : events.last();
                    write(ready, false, more);
                }
            }
            if (!mine) {
                more.run();
            }
        }

        /** Whether this run still feeds the reply: it may have been left for another while its bytes were on the way here. */
        private boolean feeds() {
            return !ended && run.filter(r -> r == this).isPresent();
        }

        private void complete(final boolean whole) {
            if (!over.compareAndSet(false, true)) {
                return;
            }
            final long job = send.job();
            if (whole && good) {
                synchronized (ProxiedRequest.this) {
                    if (!feeds()) {
                        return;
                    }
                    write(events.rest(), true, () -> {
                        gate.done(token);
                        gate.tell(p -> p.ended(job, true, EventLoop.now()));
                    });
                }
            } else if (whole && !wrong) {
                final boolean none = reply.getHeaders().contains(gate.words().none());
                final Optional<Router.Load> load = Fields.load(
                        Optional.ofNullable(reply.getHeaders().get(gate.words().load())));
                if (reply.getStatus() == 421 || none && reply.getStatus() != 400) {
                    gate.tell(p -> p.failed(
                            job,
                            reply.getStatus() == 421 ? FailurePoint.STRANGER : FailurePoint.NOT_RUN,
                            EventLoop.now()));
                } else if (headed) {
                    gate.tell(p -> p.failed(job, FailurePoint.BEGUN, EventLoop.now()));
                } else {
                    gate.tell(p -> p.ill(job, reply.getStatus(), load, EventLoop.now()));
                }
            } else {
                final FailurePoint point =
                        !begun.get() ? FailurePoint.UNSENT : good ? FailurePoint.BEGUN : FailurePoint.SENT;
                gate.tell(p -> p.failed(job, point, EventLoop.now()));
            }
        }
    }
}
