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

/** Sends requests to the first of several endpoints that can be reached. Not thread-safe. */
final class ApiClient implements AutoCloseable {
    private static final int MAX_REPLY_BYTES = 64 << 20;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long REQUEST_TIMEOUT_SECONDS = 10;
    private final Options options;
    private final PrintStream err;
    private Optional<HttpClient> openClient = Optional.empty();

    /**
     * The endpoints and the headers of all requests.
     *
     * @param endpoints        the addresses (IP:PORT), tried in this order
     * @param operatorKey      the bearer token of the operator
     * @param commandId        the value of X-Change, by which the outcome of a write can be queried later
     * @param expectedRevision the value of If-Match for requests without an expected revision of their own
     */
    record Options(List<String> endpoints, String operatorKey, String commandId, String expectedRevision) {
        /** Copies the list of endpoints. */
        Options {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** The result of a request. */
    sealed interface Result {
        /** An endpoint replied with this HTTP status and body. */
        record Replied(int status, String text) implements Result {}

        /** No endpoint received the request, or none replied to a read. */
        record NotReached(String reason) implements Result {}

        /** The connection failed or the request timed out after the endpoint may have received a write. */
        record OutcomeUnknown(String reason) implements Result {}
    }

    /** Creates a client that prints a failure to close to {@code err}. */
    ApiClient(final Options options, final PrintStream err) {
        this.options = options;
        this.err = err;
    }

    /**
     * Sends a request to one endpoint after another until one replies. A write is sent to the next endpoint only if the connection to
     * the previous one was refused, since otherwise the previous one may have received it.
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
