package silverlatch.routing;

/**
 * Tracks the highest recent number of gateways. Limits that the gateways share are divided by this number, so that a
 * gateway that disappears for a moment doesn't raise the rate of the others. Confined to the routing event loop.
 */
final class GatewayCountWindow {
    private static final long WINDOW_MICROS = 30_000_000L;
    private int max = 1;
    private int maxInWindow = 1;
    private long windowStart;

    /** Records the number of gateways at a time in microseconds. */
    void observe(final int gatewayCount, final long now) {
        if (now - windowStart > WINDOW_MICROS) {
            windowStart = now;
            max = maxInWindow;
            maxInWindow = 1;
        }
        maxInWindow = Math.max(maxInWindow, gatewayCount);
        max = Math.max(max, maxInWindow);
    }

    /** Returns the highest number recorded in the current or the previous window; at least 1. */
    int max() {
        return max;
    }
}
