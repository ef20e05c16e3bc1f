package silverlatch.server.proxy;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The names of the header fields that the proxy exchanges with clients and workers, and the scheme of tenants' keys.
 *
 * @param requestId       the id that the client gives its request, and that the worker echoes in its response
 * @param deadline        how long the client waits for the response, in milliseconds from its request; towards workers the
 *                        remaining time
 * @param promptParts     the parts of the prompt as ID:TOKENS, separated by commas
 * @param tokenCounts     the number of tokens in the prompt and the maximum number in the response, separated by a comma
 * @param seal            the seal that identifies a worker's response; a successful response has exactly one
 * @param expectedWorker  the id of the worker that a request is addressed to
 * @param workerLoad      a worker's running requests, queued requests and slots, separated by commas
 * @param notExecuted     marks a response whose worker did not execute the request and never will
 * @param priority        the priority of a request, 0 to 9; 0 is the highest
 * @param weightVersion   the version of a worker's model weights, on its response; in lower case also the first line of an event
 *                        from which on the version differs
 * @param expectedWeights the version of the weights that a worker must have to execute a request
 * @param tenant          the name of the tenant whose key the request contained; only sent to workers
 * @param keyScheme       the Authorization scheme with which a client sends a tenant's key
 */
public record ProxyHeaderNames(
        String requestId,
        String deadline,
        String promptParts,
        String tokenCounts,
        String seal,
        String expectedWorker,
        String workerLoad,
        String notExecuted,
        String priority,
        String weightVersion,
        String expectedWeights,
        String tenant,
        String keyScheme) {
    /** The names that silverlatch uses by default. */
    public static final ProxyHeaderNames DEFAULT = new ProxyHeaderNames(
            "Silverlatch-Ticket",
            "Silverlatch-Expiry-Ms",
            "Silverlatch-Parts",
            "Silverlatch-Tokens",
            "Silverlatch-Seal",
            "Silverlatch-Worker",
            "Silverlatch-Load",
            "Silverlatch-Not-Run",
            "Silverlatch-Rank",
            "Silverlatch-Weights",
            "Silverlatch-Expected-Weights",
            "Silverlatch-Tenant",
            "Token");

    /** Returns the case-insensitive set of names that only the proxy sets on requests to workers; clients' values are dropped. */
    Set<String> namesSetByProxy() {
        final Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        names.addAll(List.of(deadline, expectedWorker, priority, tenant));
        return names;
    }
}
