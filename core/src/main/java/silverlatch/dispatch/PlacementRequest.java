package silverlatch.dispatch;

import java.util.List;

/**
 * What a consumer asks a pick for: metadata only.
 *
 * @param secret the tenant's key as the consumer showed it
 * @param tenant whose ticket it is
 * @param kind   its kind
 * @param prefixDigests digests of its prefix, shortest first
 * @param promptBytes   the prompt's size in bytes
 * @param idempotencyKey    the consumer's own key for once-only, or empty
 * @param previousAttempts  how many times it was tried before
 */
public record PlacementRequest(
        String secret,
        String tenant,
        String kind,
        List<String> prefixDigests,
        long promptBytes,
        String idempotencyKey,
        int previousAttempts) {
    /** Copies the prefix. */
    public PlacementRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
