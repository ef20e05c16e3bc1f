package silverlatch.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Remembers the permits that were used, since a permit admits its request only once. They are kept for longer than a permit is
 * accepted. Used only by the dispatch event loop; times are in microseconds.
 */
final class UsedPermits {
    private static final int RETENTION_FACTOR = 3;
    private final long retention;
    private final Map<String, Long> expiryByRequest = new LinkedHashMap<>();

    /**
     * Creates an empty set of permits.
     *
     * @param retention for how long after its expiry a permit is still recognized; used permits are kept for three times as long,
     *                  and for as long as their request is open
     */
    UsedPermits(final long retention) {
        this.retention = retention;
    }

    /** Returns whether the permit of a request was used. */
    boolean contains(final String requestId) {
        return expiryByRequest.containsKey(requestId);
    }

    /** Records that the permit of a request, which expires at the given time, is used. */
    void add(final String requestId, final long expiry) {
        expiryByRequest.put(requestId, expiry);
    }

    /** Removes the permits whose retention has ended, except those of open requests. */
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
