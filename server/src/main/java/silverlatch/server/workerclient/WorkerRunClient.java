package silverlatch.server.workerclient;

import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ResettingClientConnector;

/**
 * The HTTP client by which the dispatcher has workers execute requests ({@code POST /v1/runs}). A request is sent at most once and
 * is never retried here. The methods may be called from any thread once the client has started.
 */
public final class WorkerRunClient {
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 2;
    private static final int SELECTORS = 2;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int IDLE_TIMEOUT_MS = 30_000;
    private static final int MAX_REQUESTS_PER_WORKER = 1_024;
    private static final int RUN_TIMEOUT_MINUTES = 10;
    private final HttpClient httpClient;
    private final int maxLineBytes;
    private final String workerKey;
    private final Listener listener;
    private final Map<Long, Request> requestsByOperation = new ConcurrentHashMap<>();

    /** Is told what comes of each run; called on the client's threads, one call at a time for one run. */
    public interface Listener {
        /** The worker has accepted the run; its records follow. */
        void onStarted(long operationId);

        /** A record has come, or the reason why no more records can be read. */
        void onRecord(long operationId, StreamRecord record);

        /** The exchange has ended, the last call for a run; started is false only where the run provably did not begin. */
        void onEnded(long operationId, boolean started, String reason);
    }

    /** A client that does not run yet; it reads lines of at most so many bytes and shows workers this key. */
    public WorkerRunClient(final int maxLineBytes, final String workerKey, final Listener listener) {
        this.maxLineBytes = maxLineBytes;
        this.workerKey = workerKey;
        this.listener = listener;
        final QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        pool.setName("worker-runs");
        pool.setDaemon(true);
        final ClientConnector connector = new ResettingClientConnector();
        connector.setExecutor(pool);
        connector.setSelectors(SELECTORS);
        httpClient = new HttpClient(new HttpClientTransportOverHTTP(connector));
        httpClient.setConnectTimeout(CONNECT_TIMEOUT_MS);
        httpClient.setMaxConnectionsPerDestination(MAX_REQUESTS_PER_WORKER);
        httpClient.setMaxRequestsQueuedPerDestination(MAX_REQUESTS_PER_WORKER);
        httpClient.setIdleTimeout(IDLE_TIMEOUT_MS);
        httpClient.setFollowRedirects(false);
    }

    /**
     * Starts the client's threads.
     *
     * @throws WorkerRunClientException when they can't be started
     */
    public void start() throws WorkerRunClientException {
        try {
            httpClient.start();
        } catch (final Exception failure) {
            throw new WorkerRunClientException(failure);
        }
    }

    /**
     * Closes all connections and ends the threads; runs under way end as failed.
     *
     * @throws WorkerRunClientException when they can't be ended
     */
    public void stop() throws WorkerRunClientException {
        try {
            httpClient.stop();
        } catch (final Exception failure) {
            throw new WorkerRunClientException(failure);
        }
    }

    /** Sends a run to its worker, unless its time to be sent has passed when a connection is at hand. */
    public void startRun(final DispatchEffect.StartAttempt attempt) {
        final long operationId = attempt.operationId();
        final AtomicBoolean sent = new AtomicBoolean();
        final StreamRecordDecoder decoder =
                new StreamRecordDecoder(maxLineBytes, record -> listener.onRecord(operationId, record));
        final Request request = newRequest(attempt)
                .onRequestBegin(beginning -> {
                    if (EventLoop.nowMicros() > attempt.sendDeadline()) {
                        beginning.abort(new TimeoutException("it would leave too late"));
                    } else {
                        sent.set(true);
                    }
                })
                .onResponseHeaders(response -> {
                    if (response.getStatus() == HttpStatus.OK_200) {
                        listener.onStarted(operationId);
                    }
                })
                .onResponseContent((response, bytes) -> {
                    if (response.getStatus() == HttpStatus.OK_200) {
                        decoder.decode(bytes);
                    }
                });
        requestsByOperation.put(operationId, request);
        request.send(result -> {
            requestsByOperation.remove(operationId);
            listener.onEnded(operationId, sent.get() && !isRejected(result), describe(result));
        });
    }

    /** Cancels a run and closes its connection; does nothing if it has ended. */
    public void cancel(final long operationId) {
        Optional.ofNullable(requestsByOperation.remove(operationId))
                .ifPresent(request -> request.abort(new CancellationException("cut")));
    }

    private Request newRequest(final DispatchEffect.StartAttempt attempt) {
        return httpClient
                .newRequest(URI.create("http://" + attempt.address() + "/v1/runs"))
                .method("POST")
                .headers(headers -> headers.put("Authorization", "Bearer " + workerKey))
                .body(new StringRequestContent("application/json", body(attempt)))
                .timeout(RUN_TIMEOUT_MINUTES, TimeUnit.MINUTES);
    }

    private static String body(final DispatchEffect.StartAttempt attempt) {
        return JsonDocument.write(Map.of(
                "ticket", attempt.requestId(),
                "run", attempt.attemptId(),
                "tenant", attempt.tenant(),
                "kind", attempt.kind(),
                "prefix", attempt.prefixDigests(),
                "prompt", attempt.prompt()));
    }

    /** Whether the worker says that it has not started the run and will not. */
    private static boolean isRejected(final Result result) {
        return result.getResponseFailure() == null
                && result.getResponse().getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
                && "no".equals(result.getResponse().getHeaders().get("X-Started"));
    }

    private static String describe(final Result result) {
        return result.isFailed()
                ? "" + result.getFailure().getMessage()
                : "status " + result.getResponse().getStatus();
    }

    /** The client can't be started or stopped. */
    public static final class WorkerRunClientException extends Exception {
        /** With what the HTTP client threw. */
        public WorkerRunClientException(final Throwable cause) {
            super("the client for workers: " + cause.getMessage(), cause);
        }
    }
}
