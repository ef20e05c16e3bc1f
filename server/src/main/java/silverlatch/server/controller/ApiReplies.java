package silverlatch.server.controller;

import java.util.List;
import java.util.Map;
import silverlatch.json.JsonDocument;
import silverlatch.server.web.HttpExchange;

/** Status codes of the controller's API, and the replies that reject a request. */
final class ApiReplies {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int CONTENT_TOO_LARGE = 413;
    static final int UNPROCESSABLE_CONTENT = 422;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** The reason given for rejecting a request while the event loop's queue is full. */
    static final String OVERLOADED = "the ring is full";

    private static final int MAX_REPORTED_FAULTS = 100;

    private ApiReplies() {}

    /** Rejects a request with a single reason. */
    static void reject(final HttpExchange exchange, final int status, final String reason) {
        exchange.reply(status, Map.of("outcome", "rejected", "faults", List.of(reason)), retryHeaders(status));
    }

    /** Rejects a request because the event loop's queue is full. */
    static void rejectOverload(final HttpExchange exchange) {
        reject(exchange, SERVICE_UNAVAILABLE, OVERLOADED);
    }

    /** Rejects a body that was parsed but has these faults. */
    static void rejectFaults(final HttpExchange exchange, final List<String> faults) {
        exchange.reply(UNPROCESSABLE_CONTENT, Map.of("outcome", "rejected", "faults", faults));
    }

    /** Rejects a body if faults were recorded while it was read, including unknown keys; returns false if there are none. */
    static boolean rejectIfFaulty(final HttpExchange exchange, final JsonDocument body) {
        final List<String> faults = body.finish();
        if (faults.isEmpty()) {
            return false;
        }
        rejectFaults(exchange, faults.subList(0, Math.min(MAX_REPORTED_FAULTS, faults.size())));
        return true;
    }

    /** Returns the headers of a rejection with this status: a temporary one tells after how many seconds to retry. */
    static Map<String, String> retryHeaders(final int status) {
        return status == SERVICE_UNAVAILABLE ? Map.of("Retry-After", "1") : Map.of();
    }
}
