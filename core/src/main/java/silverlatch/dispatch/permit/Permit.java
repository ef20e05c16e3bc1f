package silverlatch.dispatch.permit;

import silverlatch.clock.Stamp;

/**
 * What a pick hands out: it binds one ticket to one incarnation of one carrier for a short time.
 *
 * @param ticket  the ticket's id
 * @param tenant  whose it is
 * @param kind    its kind
 * @param worker  the worker picked
 * @param carrier the gateway that may run it
 * @param life    that gateway's incarnation
 * @param page    the sequence of the table and drains it was picked under
 * @param stamp   the pick's stamp
 * @param expiry  until when it can be used, by the carrier's monotonic clock
 * @param key     the consumer's own key, or empty
 */
public record Permit(
        String ticket,
        String tenant,
        String kind,
        String worker,
        String carrier,
        long life,
        long page,
        Stamp stamp,
        long expiry,
        String key) {}
