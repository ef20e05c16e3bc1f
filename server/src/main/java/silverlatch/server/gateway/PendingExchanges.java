package silverlatch.server.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import silverlatch.server.web.HttpExchange;

/**
 * The exchanges with clients that still wait for a reply of the dispatcher, by call id. An exchange leaves with its last byte,
 * or when its client disconnects, whichever comes first. Any thread may call.
 */
final class PendingExchanges {
    private final Map<Long, HttpExchange> exchangesByCallId = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();

    /** Adds an exchange and returns its new call id; the listener is told the id if the client disconnects before its reply. */
    long add(final HttpExchange exchange, final LongConsumer onDisconnect) {
        final long callId = lastCallId.incrementAndGet();
        exchangesByCallId.put(callId, exchange);
        exchange.onDisconnect(() -> remove(callId).ifPresent(disconnected -> onDisconnect.accept(callId)));
        return callId;
    }

    /** The exchange that goes on to wait, or empty if it has left. */
    Optional<HttpExchange> find(final long callId) {
        return Optional.ofNullable(exchangesByCallId.get(callId));
    }

    /** Whether no exchange waits. */
    boolean isEmpty() {
        return exchangesByCallId.isEmpty();
    }

    /** Removes an exchange; empty if it had left before. */
    Optional<HttpExchange> remove(final long callId) {
        return Optional.ofNullable(exchangesByCallId.remove(callId));
    }
}
