package silverlatch.server.proxy;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import silverlatch.routing.RoutedRequest;

/** Reads the properties that the router needs from a client's HTTP request. Thread-safe. */
final class RoutedRequestReader {
    private static final long DEFAULT_DEADLINE_MS = 60_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_TOKENS = 10_000_000;
    private final ProxyHeaderNames headerNames;
    private final ClientCredentials credentials;

    RoutedRequestReader(final ProxyHeaderNames headerNames) {
        this.headerNames = headerNames;
        this.credentials = new ClientCredentials(headerNames.keyScheme());
    }

    /** Returns the id that the client gave its request; empty if the mandatory header is absent or blank. */
    Optional<String> requestId(final Request request) {
        return header(request, headerNames.requestId()).filter(id -> !id.isEmpty());
    }

    /** Reads a request for the router; headers that are absent or can't be parsed get default values. */
    RoutedRequest read(final long callId, final String requestId, final Request request) {
        final String[] tokenCounts =
                header(request, headerNames.tokenCounts()).orElse("").split(",");
        return new RoutedRequest(
                callId,
                header(request, HttpHeader.HOST.asString()).orElse(""),
                Request.getPathInContext(request),
                requestId,
                deadlineMs(request) * MICROS_PER_MILLI,
                header(request, headerNames.promptParts())
                        .map(HeaderValues::promptParts)
                        .orElse(List.of()),
                tokens(tokenCounts, 0),
                tokens(tokenCounts, 1),
                credentials.read(request.getHeaders()));
    }

    private long deadlineMs(final Request request) {
        return header(request, headerNames.deadline())
                .flatMap(HeaderValues::nonNegativeInteger)
                .orElse(DEFAULT_DEADLINE_MS);
    }

    private static int tokens(final String[] counts, final int index) {
        if (index >= counts.length) {
            return 0;
        }
        return HeaderValues.nonNegativeInteger(counts[index])
                .map(tokens -> (int) Math.min(tokens, MAX_TOKENS))
                .orElse(0);
    }

    private static Optional<String> header(final Request request, final String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }
}
