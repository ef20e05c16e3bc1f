package silverlatch.dispatch.permit;

import silverlatch.clock.Stamp;

/**
 * What a pick hands out: it binds one ticket to one incarnation of one carrier for a short time.
 *
 * @param requestId  the ticket's id
 * @param tenant  whose it is
 * @param kind    its kind
 * @param worker  the worker picked
 * @param gateway the gateway that may run it
 * @param incarnation    that gateway's incarnation
 * @param revision    the sequence of the table and drains it was picked under
 * @param timestamp   the pick's stamp
 * @param expiry  until when it can be used, by the carrier's monotonic clock
 * @param idempotencyKey     the consumer's own key, or empty
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
