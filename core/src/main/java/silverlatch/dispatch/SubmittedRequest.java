package silverlatch.dispatch;

import java.util.List;

/**
 * A request as a client submits it to the gateway named in its permit.
 *
 * @param secret        the tenant's API key as presented by the client
 * @param permit        the signed permit that the placement returned
 * @param prefixDigests digests of the prompt's prefixes, shortest first
 * @param prompt        the prompt to send to the worker
 * @param timeout       how long the client waits, in microseconds
 */
public record SubmittedRequest(String secret, String permit, List<String> prefixDigests, String prompt, long timeout) {
    /** Makes a defensive copy of the digests. */
    public SubmittedRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
