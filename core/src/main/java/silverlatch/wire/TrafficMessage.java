package silverlatch.wire;

import java.util.List;
import silverlatch.state.Value;

/** Messages with which gateways report their traffic to the controller that holds the singleton role. */
public sealed interface TrafficMessage extends Message {
    /**
     * Reports the usage and demand at a gateway. The counts of a window are cumulative, so a report that arrives twice, or after
     * a newer one, has no effect.
     *
     * @param gateway     the gateway's name
     * @param incarnation the gateway's incarnation; the counts of different incarnations are added up
     * @param sequence    the sequence number of the report, which increases with each report of the incarnation
     * @param windows     the windows that haven't been acknowledged yet, including the current one
     * @param demand      the current demand of the gateway's clients for each pool
     */
    record TrafficReport(
            String gateway, long incarnation, long sequence, List<WindowCounts> windows, List<PoolDemand> demand)
            implements TrafficMessage {
        /** Copies the lists. */
        public TrafficReport {
            windows = List.copyOf(windows);
            demand = List.copyOf(demand);
        }
    }

    /**
     * Acknowledges windows to a gateway: they are closed, and their counts need not be reported any more.
     *
     * @param incarnation   the gateway's incarnation
     * @param closedWindows the numbers of the closed windows
     */
    record TrafficReportAck(long incarnation, List<Long> closedWindows) implements TrafficMessage {
        /** Copies the list. */
        public TrafficReportAck {
            closedWindows = List.copyOf(closedWindows);
        }
    }

    /**
     * The usage that one gateway counted in one window.
     *
     * @param window     the number of the window
     * @param isComplete whether the gateway's clock has passed the window's end, so that the counts are final
     * @param counts     the number of requests that were started, by tenant
     */
    record WindowCounts(long window, boolean isComplete, List<Value.TenantCount> counts) {
        /** Copies the counts. */
        public WindowCounts {
            counts = List.copyOf(counts);
        }
    }

    /**
     * The demand of one gateway's clients for one pool, averaged over the last seconds.
     *
     * @param pool              the pool's name
     * @param arrivalsPerSecond the arriving requests per second
     * @param openRequests      the number of requests that are running or queued
     * @param openTokens        the number of tokens in the prompts and responses of these requests
     */
    record PoolDemand(String pool, double arrivalsPerSecond, double openRequests, double openTokens) {}
}
