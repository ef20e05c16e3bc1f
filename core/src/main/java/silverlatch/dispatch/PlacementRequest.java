package silverlatch.dispatch;

import java.util.List;

/**
 * A client's question where to submit a request; it holds what a placement needs, not the prompt.
 *
 * @param secret           the tenant's key as the client showed it
 * @param tenant           the tenant
 * @param kind             the request's kind
 * @param prefixDigests    digests of its prefix, shortest first
 * @param promptBytes      the prompt's size in bytes
 * @param idempotencyKey   the client's key under which it runs once only, or empty
 * @param previousAttempts how often the client submitted it before
 */
public record PlacementRequest(
        String secret,
        String tenant,
        String kind,
        List<String> prefixDigests,
        long promptBytes,
        String idempotencyKey,
        int previousAttempts) {
    /** Copies the digests. */
    public PlacementRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
