package silverlatch.dispatch;

import java.util.List;

/**
 * A request that a client submits to the gateway that its permit names.
 *
 * @param secret        the tenant's key as the client showed it
 * @param permit        the signed permit of its placement
 * @param prefixDigests digests of its prefix, shortest first
 * @param prompt        what the worker is to read
 * @param timeout       how long the client waits, in microseconds
 */
public record SubmittedRequest(String secret, String permit, List<String> prefixDigests, String prompt, long timeout) {
    /** Copies the digests. */
    public SubmittedRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
