package silverlatch.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The permits that were used: a permit admits its request once. They are remembered for longer than a permit is accepted.
 * Owned by the dispatch event loop; times in microseconds.
 */
final class UsedPermits {
    private static final int RETENTION_FACTOR = 3;
    private final long retention;
    private final Map<String, Long> expiryByRequest = new LinkedHashMap<>();

    /** Remembers permits for three times the retention after their expiry, and as long as their request is open. */
    UsedPermits(final long retention) {
        this.retention = retention;
    }

    /** Whether the permit of a request was used. */
    boolean contains(final String requestId) {
        return expiryByRequest.containsKey(requestId);
    }

    /** A request's permit is used now. */
    void add(final String requestId, final long expiry) {
        expiryByRequest.put(requestId, expiry);
    }

    /** Forgets permits whose time is over, oldest first; those of open requests stay. */
    void removeExpired(final long now, final Predicate<String> isOpen) {
        final Iterator<Map.Entry<String, Long>> permits =
                expiryByRequest.entrySet().iterator();
        while (permits.hasNext()) {
            final Map.Entry<String, Long> oldest = permits.next();
            if (now - oldest.getValue() <= RETENTION_FACTOR * retention) {
                return;
            }
            if (!isOpen.test(oldest.getKey())) {
                permits.remove();
            }
        }
    }
}
