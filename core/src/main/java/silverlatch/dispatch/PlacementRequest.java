package silverlatch.dispatch;

import java.util.List;

/**
 * A client's call for a placement of a request. Contains what the placement needs, but not the prompt.
 *
 * @param secret           the tenant's API key as presented by the client
 * @param tenant           the tenant's name
 * @param kind             the request's kind
 * @param prefixDigests    digests of the prompt's prefixes, shortest first
 * @param promptBytes      the prompt's size in bytes
 * @param idempotencyKey   the client's key under which the request runs at most once, or empty
 * @param previousAttempts how many times the client has submitted the request before
 */
public record PlacementRequest(
        String secret,
        String tenant,
        String kind,
        List<String> prefixDigests,
        long promptBytes,
        String idempotencyKey,
        int previousAttempts) {
    /** Makes a defensive copy of the digests. */
    public PlacementRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
