package silverlatch.server.controller;

import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;

/** The evacuations of zones ({@code /v1/zones}). */
final class EvacuationResource {
    private static final String KEY_PREFIX = "z/";
    private final StateApi state;

    EvacuationResource(final StateApi state) {
        this.state = state;
    }

    /** Replies with all evacuations, including those that have ended. */
    void list(final HttpExchange exchange) {
        state.list(exchange, KEY_PREFIX, "zones");
    }

    /** Starts or ends the evacuation of a zone; without an expected revision, the latest command wins. */
    void put(final HttpExchange exchange, final String zone) {
        state.parseBody(exchange).ifPresent(body -> {
            body.require("empty");
            final boolean isEvacuated = body.flag("empty", false);
            if (!ApiReplies.rejectIfFaulty(exchange, body)) {
                state.write(
                        exchange,
                        (id, expectedRevision) -> new Command.SetEvacuation(id, zone, isEvacuated, expectedRevision));
            }
        });
    }
}
