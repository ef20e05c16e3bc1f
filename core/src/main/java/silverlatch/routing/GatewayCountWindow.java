package silverlatch.routing;

/**
 * The most gateways that were there lately. Limits that gateways share are divided by it, so that a gateway that is gone
 * for a moment doesn't raise what the others send. Owned by the routing event loop.
 */
final class GatewayCountWindow {
    private static final long WINDOW_MICROS = 30_000_000L;
    private int max = 1;
    private int maxInWindow = 1;
    private long windowStart;

    /** So many gateways are there now. */
    void observe(final int gatewayCount, final long now) {
        if (now - windowStart > WINDOW_MICROS) {
            windowStart = now;
            max = maxInWindow;
            maxInWindow = 1;
        }
        maxInWindow = Math.max(maxInWindow, gatewayCount);
        max = Math.max(max, maxInWindow);
    }

    /** The most that were there in this window or the one before it. */
    int max() {
        return max;
    }
}
