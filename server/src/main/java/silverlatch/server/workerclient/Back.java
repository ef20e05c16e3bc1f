package silverlatch.server.workerclient;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ResettingClientConnector;

/** Asks workers to run, by Jetty's client. */
public final class Back {
    private final HttpClient http;
    private final int line;
    private final String key;
    private final Sink sink;
    private final Map<Long, Request> jobs = new ConcurrentHashMap<>();

    /** Where a worker's words go. */
    public interface Sink {
        /** The worker said that it starts. */
        void begun(long job);

        /** A line came. */
        void line(long job, StreamRecord line);

        /** The exchange ended; started is false only where it provably did not begin. */
        void failed(long job, boolean started, String why);
    }

    /** A client for workers. */
    public Back(final int line, final String key, final Sink sink) {
        this.line = line;
        this.key = key;
        this.sink = sink;
        final ClientConnector connector = new ResettingClientConnector();
        final QueuedThreadPool pool = new QueuedThreadPool(16, 2);
        pool.setName("back");
        pool.setDaemon(true);
        connector.setExecutor(pool);
        connector.setSelectors(2);
        http = new HttpClient(new HttpClientTransportOverHTTP(connector));
        http.setConnectTimeout(1_000);
        http.setMaxConnectionsPerDestination(1_024);
        http.setMaxRequestsQueuedPerDestination(1_024);
        http.setIdleTimeout(30_000);
        http.setFollowRedirects(false);
    }

    /** Starts the client. */
    public void start() throws BackFault {
        try {
            http.start();
        } catch (final Exception e) {
            throw new BackFault(e);
        }
    }

    /** Starts a run at a worker. */
    public void run(final DispatchEffect.StartAttempt r) {
        final AtomicBoolean begun = new AtomicBoolean();
        final Lines lines = new Lines(line, l -> sink.line(r.operationId(), l));
        final String body = JsonDocument.write(Map.of(
                "ticket",
                r.requestId(),
                "run",
                r.attemptId(),
                "tenant",
                r.tenant(),
                "kind",
                r.kind(),
                "prefix",
                r.prefixDigests(),
                "prompt",
                r.prompt()));
        final Request request = http.newRequest(URI.create("http://" + r.address() + "/v1/runs"))
                .method("POST")
                .headers(h -> h.put("Authorization", "Bearer " + key))
                .body(new StringRequestContent("application/json", body))
                .onRequestBegin(q -> {
                    if (EventLoop.nowMicros() > r.sendDeadline()) {
                        q.abort(new TimeoutException("it would leave too late"));
                    } else {
                        begun.set(true);
                    }
                })
                .onResponseHeaders(response -> {
                    if (response.getStatus() == 200) {
                        sink.begun(r.operationId());
                    }
                })
                .onResponseContent((response, bytes) -> {
                    if (response.getStatus() == 200) {
                        lines.take(bytes);
                    }
                })
                .timeout(10, TimeUnit.MINUTES);
        jobs.put(r.operationId(), request);
        request.send(result -> {
            jobs.remove(r.operationId());
            final int status = result.getResponse().getStatus();
            final boolean denied = result.getResponseFailure() == null
                    && status == 503
                    && "no".equals(result.getResponse().getHeaders().get("X-Started"));
            sink.failed(
                    r.operationId(),
                    begun.get() && !denied,
                    result.isFailed() ? "" + result.getFailure().getMessage() : "status " + status);
        });
    }

    /** Drops a run. */
    public void cut(final long job) {
        java.util.Optional.ofNullable(jobs.remove(job))
                .ifPresent(r -> r.abort(new java.util.concurrent.CancellationException("cut")));
    }

    /** A fault of the client. */
    public static final class BackFault extends Exception {
        /** What caused it. */
        public BackFault(final Throwable cause) {
            super("the client for workers can't start: " + cause.getMessage(), cause);
        }
    }
}
