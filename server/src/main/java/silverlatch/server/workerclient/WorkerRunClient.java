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
 * The HTTP client with which the dispatcher sends requests to workers for execution ({@code POST /v1/runs}). Each run is sent at
 * most once and never retried by this client. The methods may be called from any thread once the client has started.
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

    /** Receives the events of all runs; called on the client's threads, sequentially for each run. */
    public interface Listener {
        /** Called when the worker has accepted the run; its records follow. */
        void onStarted(long operationId);

        /** Called for each received record, or with {@link StreamRecord.Lost} if no more records can be read. */
        void onRecord(long operationId, StreamRecord record);

        /**
         * Called last for each run, when its HTTP exchange has ended, successfully or not.
         *
         * @param started false only if it is known that the worker did not start the run
         * @param reason  the HTTP status or the failure that ended the exchange
         */
        void onEnded(long operationId, boolean started, String reason);
    }

    /**
     * Creates a client that is not started.
     *
     * @param maxLineBytes the maximum length of a line of a response in bytes
     * @param workerKey    the key that is sent to workers as bearer token
     * @param listener     receives the events of all runs
     */
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
     * Closes all connections and stops the threads; runs in flight fail.
     *
     * @throws WorkerRunClientException when they can't be stopped
     */
    public void stop() throws WorkerRunClientException {
        try {
            httpClient.stop();
        } catch (final Exception failure) {
            throw new WorkerRunClientException(failure);
        }
    }

    /** Sends a run to its worker, unless its send deadline has passed by the time a connection is available. */
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

    /** Cancels a run and closes its connection; has no effect if the run has ended. */
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

    /** Returns whether the worker stated that it did not start the run and never will. */
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

    /** Thrown when the client can't be started or stopped. */
    public static final class WorkerRunClientException extends Exception {
        /** Creates an exception with the failure of the underlying HTTP client as its cause. */
        public WorkerRunClientException(final Throwable cause) {
            super("can't start or stop the HTTP client for worker runs: " + cause.getMessage(), cause);
        }
    }
}
