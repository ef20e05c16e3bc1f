package silverlatch.server.controller;

import silverlatch.server.web.HttpExchange;

/**
 * The claims of idempotency keys ({@code /v1/claims}). They are listed by partition, which is the first two hexadecimal digits of the
 * hashed key.
 */
final class ClaimResource {
    private static final String KEY_PREFIX = "c/";
    private final StateApi state;

    ClaimResource(final StateApi state) {
        this.state = state;
    }

    /** Replies with the claims of a partition; 404 if the partition isn't two hexadecimal digits. */
    void list(final HttpExchange exchange, final String partition) {
        if (partition.matches("[0-9a-f]{2}")) {
            state.list(exchange, KEY_PREFIX + partition, "claims");
        } else {
            ApiRouter.rejectUnknownPath(exchange);
        }
    }
}
