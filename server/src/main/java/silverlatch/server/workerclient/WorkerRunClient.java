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
public final class WorkerRunClient {
    private final HttpClient httpClient;
    private final int maxLineBytes;
    private final String workerKey;
    private final Listener listener;
    private final Map<Long, Request> requestsByOperation = new ConcurrentHashMap<>();

    /** Where a worker's words go. */
    public interface Listener {
        /** The worker said that it starts. */
        void onStarted(long operationId);

        /** A line came. */
        void onRecord(long operationId, StreamRecord record);

        /** The exchange ended; started is false only where it provably did not begin. */
        void onEnded(long operationId, boolean started, String reason);
    }

    /** A client for workers. */
    public WorkerRunClient(final int maxLineBytes, final String workerKey, final Listener listener) {
        this.maxLineBytes = maxLineBytes;
        this.workerKey = workerKey;
        this.listener = listener;
        final ClientConnector connector = new ResettingClientConnector();
        final QueuedThreadPool pool = new QueuedThreadPool(16, 2);
        pool.setName("back");
        pool.setDaemon(true);
        connector.setExecutor(pool);
        connector.setSelectors(2);
        httpClient = new HttpClient(new HttpClientTransportOverHTTP(connector));
        httpClient.setConnectTimeout(1_000);
        httpClient.setMaxConnectionsPerDestination(1_024);
        httpClient.setMaxRequestsQueuedPerDestination(1_024);
        httpClient.setIdleTimeout(30_000);
        httpClient.setFollowRedirects(false);
    }

    /** Starts the client. */
    public void start() throws WorkerRunClientException {
        try {
            httpClient.start();
        } catch (final Exception e) {
            throw new WorkerRunClientException(e);
        }
    }

    /** Starts a run at a worker. */
    public void startRun(final DispatchEffect.StartAttempt run) {
        final AtomicBoolean begun = new AtomicBoolean();
        final StreamRecordDecoder decoder =
                new StreamRecordDecoder(maxLineBytes, record -> listener.onRecord(run.operationId(), record));
        final String body = JsonDocument.write(Map.of(
                "ticket",
                run.requestId(),
                "run",
                run.attemptId(),
                "tenant",
                run.tenant(),
                "kind",
                run.kind(),
                "prefix",
                run.prefixDigests(),
                "prompt",
                run.prompt()));
        final Request request = httpClient
                .newRequest(URI.create("http://" + run.address() + "/v1/runs"))
                .method("POST")
                .headers(headers -> headers.put("Authorization", "Bearer " + workerKey))
                .body(new StringRequestContent("application/json", body))
                .onRequestBegin(started -> {
                    if (EventLoop.nowMicros() > run.sendDeadline()) {
                        started.abort(new TimeoutException("it would leave too late"));
                    } else {
                        begun.set(true);
                    }
                })
                .onResponseHeaders(response -> {
                    if (response.getStatus() == 200) {
                        listener.onStarted(run.operationId());
                    }
                })
                .onResponseContent((response, bytes) -> {
                    if (response.getStatus() == 200) {
                        decoder.decode(bytes);
                    }
                })
                .timeout(10, TimeUnit.MINUTES);
        requestsByOperation.put(run.operationId(), request);
        request.send(result -> {
            requestsByOperation.remove(run.operationId());
            final int status = result.getResponse().getStatus();
            final boolean rejected = result.getResponseFailure() == null
                    && status == 503
                    && "no".equals(result.getResponse().getHeaders().get("X-Started"));
            listener.onEnded(
                    run.operationId(),
                    begun.get() && !rejected,
                    result.isFailed() ? "" + result.getFailure().getMessage() : "status " + status);
        });
    }

    /** Drops a run. */
    public void cancel(final long operationId) {
        java.util.Optional.ofNullable(requestsByOperation.remove(operationId))
                .ifPresent(request -> request.abort(new java.util.concurrent.CancellationException("cut")));
    }

    /** A fault of the client. */
    public static final class WorkerRunClientException extends Exception {
        /** What caused it. */
        public WorkerRunClientException(final Throwable cause) {
            super("the client for workers can't start: " + cause.getMessage(), cause);
        }
    }
}
