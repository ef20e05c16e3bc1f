package silverlatch.dispatch.permit;

import silverlatch.clock.Stamp;

/**
 * Allows a client to submit one request, once, to one incarnation of one gateway before an expiry.
 *
 * @param requestId      the request's id
 * @param tenant         the request's tenant
 * @param kind           the request's kind
 * @param worker         the worker chosen for the request, or empty
 * @param gateway        the id of the gateway that accepts the permit
 * @param incarnation    that gateway's incarnation
 * @param revision       the revision of the replicated state that the choice of the worker is based on
 * @param timestamp      when the worker was chosen, by the cluster's clock
 * @param expiry         when the permit expires, by the gateway's monotonic clock in microseconds
 * @param idempotencyKey the client's key under which the request runs at most once, or empty
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
    /** Returns whether the request has an idempotency key. */
    public boolean hasIdempotencyKey() {
        return !idempotencyKey.isEmpty();
    }
}
