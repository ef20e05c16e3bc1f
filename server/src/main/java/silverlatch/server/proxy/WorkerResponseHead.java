package silverlatch.server.proxy;

import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The meaning of the status and headers of a worker's response for the request that was sent. They are accepted only if they echo
 * exactly the request id that was sent: on a pooled connection the response may otherwise belong to an earlier request.
 */
sealed interface WorkerResponseHead {
    /** A success with the worker's seal and a self-delimited body, whose end is distinguishable from a broken connection. */
    record Success() implements WorkerResponseHead {}

    /** Any other status; the worker's response is to be forwarded with its own status and headers. */
    record Failure() implements WorkerResponseHead {}

    /** The worker's statement that it did not execute the request and never will. */
    record NotExecuted() implements WorkerResponseHead {}

    /** Another worker now uses the address; it did not execute the request. */
    record Misdirected() implements WorkerResponseHead {}

    /** A response to another request, or one that must not be forwarded; the request may have been executed. */
    record Unusable(String reason) implements WorkerResponseHead {}

    /** The statuses from which a client concludes that the request was not executed and may be retried. */
    Set<Integer> RETRYABLE_STATUSES = Set.of(
            HttpStatus.REQUEST_TIMEOUT_408, HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503);

    /** Classifies the status and headers of a response to a request with this request id and method. */
    static WorkerResponseHead read(
            final Set<ProxySafeguard> disabledSafeguards,
            final ProxyHeaderNames headerNames,
            final String requestId,
            final String method,
            final int status,
            final HttpFields headers) {
        if (!disabledSafeguards.contains(ProxySafeguard.REQUEST_ID_ECHO)
                && !headers.getValuesList(headerNames.requestId()).equals(List.of(requestId))) {
            return new Unusable("the response does not echo the request id exactly once");
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
                ? new Unusable(
                        "status " + status + " without the worker's statement that it did not execute the request")
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
            return new Unusable("a success with the statement that the request was not executed");
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
                : new Unusable("a body whose end cannot be distinguished from a broken connection");
    }

    /** Returns whether a truncated body can be distinguished from a complete one. */
    private static boolean isSelfDelimited(final String method, final int status, final HttpFields headers) {
        final boolean hasContentLength = headers.contains(HttpHeader.CONTENT_LENGTH);
        final boolean hasTransferEncoding = headers.contains(HttpHeader.TRANSFER_ENCODING);
        final boolean isBodiless = method.equals("HEAD") || status == HttpStatus.NO_CONTENT_204;
        return hasContentLength != hasTransferEncoding || isBodiless && !hasContentLength;
    }
}
