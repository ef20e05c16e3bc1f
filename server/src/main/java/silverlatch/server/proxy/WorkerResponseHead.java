package silverlatch.server.proxy;

import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * What the head of a worker's response means for the request that was sent. A head counts only if it echoes exactly the
 * request id that was sent: on a pooled connection it may otherwise belong to an earlier request.
 */
sealed interface WorkerResponseHead {
    /** A success that bears the worker's seal and whose body shows by itself whether it is complete. */
    record Success() implements WorkerResponseHead {}

    /** The worker's own failure, to be forwarded with its own status and seal. */
    record Failure() implements WorkerResponseHead {}

    /** The worker says that it did not execute the request and never will. */
    record NotExecuted() implements WorkerResponseHead {}

    /** Another worker has the address; it did not execute the request. */
    record Misdirected() implements WorkerResponseHead {}

    /** Not a response to this request, or none that may be forwarded; the request may have been executed. */
    record Unusable(String reason) implements WorkerResponseHead {}

    /** The statuses that tell a client that the request was not executed and may be retried. */
    Set<Integer> RETRYABLE_STATUSES = Set.of(
            HttpStatus.REQUEST_TIMEOUT_408, HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503);

    /** Reads the head of a response to a request with this request id and method. */
    static WorkerResponseHead read(
            final Set<ProxySafeguard> disabledSafeguards,
            final ProxyHeaderNames headerNames,
            final String requestId,
            final String method,
            final int status,
            final HttpFields headers) {
        if (!disabledSafeguards.contains(ProxySafeguard.REQUEST_ID_ECHO)
                && !headers.getValuesList(headerNames.requestId()).equals(List.of(requestId))) {
            return new Unusable("it does not echo the request id");
        }
        if (status < HttpStatus.OK_200) {
            return new Unusable("an interim response");
        }
        final boolean notExecuted = headers.contains(headerNames.notExecuted());
        if (HttpStatus.isSuccess(status)) {
            return readSuccess(disabledSafeguards, headerNames, method, status, headers, notExecuted);
        }
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            return new Misdirected();
        }
        if (notExecuted && status != HttpStatus.BAD_REQUEST_400) {
            return new NotExecuted();
        }
        return RETRYABLE_STATUSES.contains(status)
                        && !disabledSafeguards.contains(ProxySafeguard.NOT_EXECUTED_STATEMENT)
                ? new Unusable("status " + status + " without the worker's statement that it did not execute it")
                : new Failure();
    }

    private static WorkerResponseHead readSuccess(
            final Set<ProxySafeguard> disabledSafeguards,
            final ProxyHeaderNames headerNames,
            final String method,
            final int status,
            final HttpFields headers,
            final boolean notExecuted) {
        if (notExecuted) {
            return new Unusable("a success that was not executed");
        }
        if (!disabledSafeguards.contains(ProxySafeguard.SEAL)
                && headers.getValuesList(headerNames.seal()).size() != 1) {
            return new Unusable("a success without exactly one seal");
        }
        if (headers.contains(HttpHeader.CONTENT_ENCODING)) {
            return new Unusable("an encoded body");
        }
        return isSelfDelimited(method, status, headers)
                        || disabledSafeguards.contains(ProxySafeguard.SELF_DELIMITED_BODY)
                ? new Success()
                : new Unusable("a body whose end cannot be told from a broken connection");
    }

    /** Whether a body that ends early can be told from a complete one. */
    private static boolean isSelfDelimited(final String method, final int status, final HttpFields headers) {
        final boolean hasContentLength = headers.contains(HttpHeader.CONTENT_LENGTH);
        final boolean hasTransferEncoding = headers.contains(HttpHeader.TRANSFER_ENCODING);
        final boolean isBodiless = method.equals("HEAD") || status == HttpStatus.NO_CONTENT_204;
        return hasContentLength != hasTransferEncoding || isBodiless && !hasContentLength;
    }
}
