package silverlatch.server.gateway;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.server.web.HttpExchange;

/** Writes the replies that several operations of the gateway's HTTP API share; docs/api.md describes their fields. */
final class ApiReplies {
    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final long MICROS_PER_MILLI = 1_000L;
    private static final int SERVICE_UNAVAILABLE = 503;

    private ApiReplies() {}

    /** Rejects a call with a list of faults, i.e. the validation errors found in it. */
    static void reject(final HttpExchange exchange, final int status, final List<String> faults) {
        exchange.reply(status, Map.of("outcome", "rejected", "faults", faults));
    }

    /** Rejects a call with 503 because the queue of an event loop is full; the client may retry it after a second. */
    static void rejectAsOverloaded(final HttpExchange exchange) {
        reject(
                exchange,
                new DispatchEffect.Rejected(0, SERVICE_UNAVAILABLE, "", "the ring is full", MICROS_PER_SECOND, ""));
    }

    /** Rejects a call with the status, reason and retry delay that the dispatcher decided on. */
    static void reject(final HttpExchange exchange, final DispatchEffect.Rejected rejected) {
        final Map<String, Object> body = new TreeMap<>();
        body.put("outcome", "rejected");
        body.put("ticket", rejected.requestId());
        body.put("faults", List.of(rejected.reason()));
        body.put("retryAfterMs", rejected.retryAfter() / MICROS_PER_MILLI);
        if (!rejected.claimState().isEmpty()) {
            body.put("stands", rejected.claimState());
        }
        exchange.reply(rejected.statusCode(), body, retryAfterHeader(rejected.retryAfter()));
    }

    private static Map<String, String> retryAfterHeader(final long retryAfterMicros) {
        if (retryAfterMicros <= 0) {
            return Map.of();
        }
        final long seconds = Math.max(1, (retryAfterMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
        return Map.of("Retry-After", "" + seconds);
    }
}
