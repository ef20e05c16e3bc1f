package silverlatch.server.tool;

import java.io.PrintStream;
import java.net.ConnectException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** Sends requests to the first of several endpoints that can be reached. For one thread. */
final class ApiClient implements AutoCloseable {
    private static final int MAX_REPLY_BYTES = 64 << 20;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long REQUEST_TIMEOUT_SECONDS = 10;
    private final Options options;
    private final PrintStream err;
    private Optional<HttpClient> openClient = Optional.empty();

    /**
     * Where requests go and what they bear.
     *
     * @param endpoints        addresses IP:PORT, tried one after another
     * @param operatorKey      the bearer token
     * @param commandId        the value of X-Change, by which a write's outcome can be asked for later
     * @param expectedRevision the value of If-Match for requests that bear none of their own
     */
    record Options(List<String> endpoints, String operatorKey, String commandId, String expectedRevision) {
        /** Copies the endpoints. */
        Options {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** What came of a request. */
    sealed interface Result {
        /** An endpoint replied with this HTTP status and body. */
        record Replied(int status, String text) implements Result {}

        /** No endpoint took the request. */
        record NotReached(String reason) implements Result {}

        /** The connection broke or the time ran out after a write may have been taken. */
        record OutcomeUnknown(String reason) implements Result {}
    }

    /** A client that reports a failure to close on {@code err}. */
    ApiClient(final Options options, final PrintStream err) {
        this.options = options;
        this.err = err;
    }

    /**
     * Sends a request to the endpoints in turn until one replies. A write goes on to the next endpoint only where the
     * connection to the one before was refused.
     */
    Result send(final ApiRequest request) {
        try {
            final HttpClient http = startedClient();
            String reason = "no address is given";
            for (final String endpoint : options.endpoints()) {
                try {
                    return sendTo(http, endpoint, request);
                } catch (final ExecutionException | TimeoutException failure) {
                    reason = endpoint + ": " + failure.getMessage();
                    if (!request.isRead() && !(failure.getCause() instanceof ConnectException)) {
                        return new Result.OutcomeUnknown(
                                reason + "; it is not known whether change " + options.commandId() + " takes effect");
                    }
                }
            }
            return new Result.NotReached("not reached: " + reason);
        } catch (final Exception failure) {
            return new Result.NotReached("" + failure.getMessage());
        }
    }

    @Override
    public void close() {
        openClient.ifPresent(http -> {
            try {
                http.stop();
            } catch (final Exception failure) {
                err.println("silverlatch: " + failure.getMessage());
            }
        });
    }

    private HttpClient startedClient() throws Exception {
        if (openClient.isEmpty()) {
            final HttpClient http = new HttpClient();
            http.setConnectTimeout(CONNECT_TIMEOUT_MS);
            openClient = Optional.of(http);
            http.start();
        }
        return openClient.get();
    }

    private Result sendTo(final HttpClient http, final String endpoint, final ApiRequest request)
            throws ExecutionException, InterruptedException, TimeoutException {
        final Request httpRequest = http.newRequest(URI.create("http://" + endpoint + request.path()))
                .method(request.method())
                .headers(fields -> fields.put("Authorization", "Bearer " + options.operatorKey())
                        .put("X-Change", options.commandId())
                        .put("If-Match", request.expectedRevision().orElse(options.expectedRevision())))
                .timeout(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        request.body().ifPresent(json -> httpRequest.body(new BytesRequestContent("application/json", json)));
        final ContentResponse response = new CompletableResponseListener(httpRequest, MAX_REPLY_BYTES)
                .send()
                .get(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return new Result.Replied(response.getStatus(), response.getContentAsString());
    }
}
