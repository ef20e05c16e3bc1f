package silverlatch.dispatch.permit;

import silverlatch.clock.Stamp;

/**
 * The right to submit one request to one incarnation of one gateway within a short time.
 *
 * @param requestId      the request's id
 * @param tenant         its tenant
 * @param kind           its kind
 * @param worker         the worker that was chosen for it, or empty
 * @param gateway        the id of the gateway that takes it
 * @param incarnation    that gateway's incarnation
 * @param revision       the revision of the replicated state that the choice rests on
 * @param timestamp      the choice's timestamp of the cluster's clock
 * @param expiry         when it can no longer be used, by that gateway's monotonic clock in microseconds
 * @param idempotencyKey the client's key under which the request runs once only, or empty
 */
public record Permit(
        String requestId,
        String tenant,
        String kind,
        String worker,
        String gateway,
        long incarnation,
        long revision,
        Stamp timestamp,
        long expiry,
        String idempotencyKey) {
    /** Whether the client named a key under which the request runs once only. */
    public boolean hasIdempotencyKey() {
        return !idempotencyKey.isEmpty();
    }
}
