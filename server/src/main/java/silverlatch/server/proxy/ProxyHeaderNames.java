package silverlatch.server.proxy;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The names of the header fields of the proxy, towards clients and towards workers.
 *
 * @param requestId      the client's id of its request, which the worker echoes
 * @param deadline       how many milliseconds the client waits
 * @param promptParts    the parts of the prompt as ID:TOKENS, separated by commas
 * @param tokenCounts    the tokens of the prompt, and the most of the response
 * @param seal           the worker's own seal on a response
 * @param expectedWorker the worker that a request is for
 * @param workerLoad     a worker's running requests, queued requests and slots
 * @param notExecuted    says that a worker did not execute the request
 * @param priority       the priority of a request, 0 to 9; 0 comes first
 * @param weightVersion  the version of a worker's weights, on its response; in lower case also the first line of an event at
 *                       which the version changes
 * @param expectedWeights the version of weights that a worker needs to run a request
 * @param tenant         the name of the tenant whose key a request brought, towards workers only
 * @param keyScheme      the scheme of Authorization by which a client sends a tenant's key
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
    /** The product's own names. */
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

    /** The names that only the proxy itself sets on what it sends to a worker; letter case does not matter. */
    Set<String> namesSetByProxy() {
        final Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        names.addAll(List.of(deadline, expectedWorker, priority, tenant));
        return names;
    }
}
