package silverlatch.server.proxy;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import silverlatch.routing.RoutingEffect;

/**
 * Makes the request that a worker gets out of the client's: method, path, body and end-to-end headers unchanged, but that a tenant's key
 * is left out, and the proxy's own headers set anew. Each attempt's request is made from the client's, so all of them name the
 * same tenant.
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

    /** A request that is not sent yet; one that resumes a stream names the last event that was forwarded, and the weights that made it. */
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
        headers.put(headerNames.priority(), "" + Math.min(LOWEST_PRIORITY, attempt.rank()));
        attempt.tenant().ifPresent(tenant -> headers.put(headerNames.tenant(), tenant));
        position.lastEventId().ifPresent(id -> {
            headers.put(LAST_EVENT_ID, id);
            position.weightVersion().ifPresent(version -> headers.put(headerNames.expectedWeights(), version));
        });
    }

    /** An empty body is framed as one where the client's was. */
    private static boolean hasBody(final HttpFields clientHeaders, final byte[] body) {
        return body.length > 0
                || clientHeaders.contains(HttpHeader.CONTENT_LENGTH)
                || clientHeaders.contains(HttpHeader.TRANSFER_ENCODING);
    }
}
