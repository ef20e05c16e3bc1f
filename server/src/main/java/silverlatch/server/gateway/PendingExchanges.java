package silverlatch.server.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import silverlatch.server.web.HttpExchange;

/**
 * The HTTP exchanges that wait for a reply of the dispatcher, by call id. An exchange is removed with the last part of its reply or
 * when its client disconnects, whichever happens first. Thread-safe.
 */
final class PendingExchanges {
    private final Map<Long, HttpExchange> exchangesByCallId = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();

    /** Adds an exchange and returns its new call id, with which the listener is called if the client disconnects before its reply. */
    long add(final HttpExchange exchange, final LongConsumer onDisconnect) {
        final long callId = lastCallId.incrementAndGet();
        exchangesByCallId.put(callId, exchange);
        exchange.onDisconnect(() -> remove(callId).ifPresent(disconnected -> onDisconnect.accept(callId)));
        return callId;
    }

    /** Returns an exchange, which remains pending; empty if it was removed. */
    Optional<HttpExchange> find(final long callId) {
        return Optional.ofNullable(exchangesByCallId.get(callId));
    }

    /** Returns whether no exchange is pending. */
    boolean isEmpty() {
        return exchangesByCallId.isEmpty();
    }

    /** Removes and returns an exchange; empty if it was already removed. */
    Optional<HttpExchange> remove(final long callId) {
        return Optional.ofNullable(exchangesByCallId.remove(callId));
    }
}
