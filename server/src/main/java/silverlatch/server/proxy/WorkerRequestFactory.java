package silverlatch.server.proxy;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import silverlatch.routing.RoutingEffect;

/**
 * Creates the request to a worker from the client's request: method, path, body and end-to-end headers are unchanged, except that
 * a tenant's key is removed and the proxy's own headers are replaced. The request of every attempt is created from the client's,
 * so all attempts name the same tenant.
 */
final class WorkerRequestFactory {
    private static final String LAST_EVENT_ID = "Last-Event-Id";
    private static final int TIMEOUT_SLACK_MS = 1_000;
    private static final int LOWEST_PRIORITY = 9;
    private static final long MICROS_PER_MILLI = 1_000L;
    private final WorkerHttpClient client;
    private final ProxyHeaderNames headerNames;
    private final Set<String> namesSetByProxy;
    private final ClientCredentials credentials;

    WorkerRequestFactory(final WorkerHttpClient client, final ProxyHeaderNames headerNames) {
        this.client = client;
        this.headerNames = headerNames;
        this.namesSetByProxy = headerNames.namesSetByProxy();
        this.credentials = new ClientCredentials(headerNames.keyScheme());
    }

    /**
     * Creates the request of an attempt, without sending it. If it resumes a stream, it contains the id of the last forwarded event
     * and the version of the weights that produced it.
     */
    Request create(
            final RoutingEffect.StartAttempt attempt,
            final org.eclipse.jetty.server.Request clientRequest,
            final byte[] body,
            final StreamPosition position) {
        final HttpFields clientHeaders = clientRequest.getHeaders();
        final long timeLeftMs = attempt.timeout() / MICROS_PER_MILLI;
        final Request request = client.newRequest(
                        attempt.address(),
                        clientRequest.getMethod(),
                        clientRequest.getHttpURI().getPathQuery())
                .headers(headers -> setHeaders(headers, clientHeaders, attempt, position))
                .timeout(timeLeftMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS)
                .idleTimeout(timeLeftMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS);
        if (hasBody(clientHeaders, body)) {
            request.body(new BytesRequestContent(clientHeaders.get(HttpHeader.CONTENT_TYPE), body));
        }
        return request;
    }

    private void setHeaders(
            final HttpFields.Mutable headers,
            final HttpFields clientHeaders,
            final RoutingEffect.StartAttempt attempt,
            final StreamPosition position) {
        headers.clear();
        EndToEndHeaders.copy(
                clientHeaders,
                field -> namesSetByProxy.contains(field.getName()) || credentials.containsKey(field),
                headers);
        headers.put(headerNames.deadline(), "" + Math.max(1, attempt.timeout() / MICROS_PER_MILLI));
        headers.put(headerNames.expectedWorker(), attempt.worker());
        headers.put(headerNames.priority(), "" + Math.min(LOWEST_PRIORITY, attempt.priority()));
        attempt.tenant().ifPresent(tenant -> headers.put(headerNames.tenant(), tenant));
        position.lastEventId().ifPresent(id -> {
            headers.put(LAST_EVENT_ID, id);
            position.weightVersion().ifPresent(version -> headers.put(headerNames.expectedWeights(), version));
        });
    }

    /** Returns whether the request is sent with a body; an empty body is sent as such if the client's request was framed with one. */
    private static boolean hasBody(final HttpFields clientHeaders, final byte[] body) {
        return body.length > 0
                || clientHeaders.contains(HttpHeader.CONTENT_LENGTH)
                || clientHeaders.contains(HttpHeader.TRANSFER_ENCODING);
    }
}
