package silverlatch.wire;

import java.util.List;
import silverlatch.state.Value;

/** Messages by which gateways tell the owner of the singleton role what they serve. */
public sealed interface TrafficMessage extends Message {
    /**
     * What a gateway has served. Counts of a window are those of the whole window so far, so a report that comes twice, or after
     * a newer one, changes nothing.
     *
     * @param gateway     the gateway's name
     * @param incarnation the gateway's incarnation; counts of two incarnations add up
     * @param sequence    rises with each report of the incarnation
     * @param windows     the windows that weren't acknowledged yet, the one that is open among them
     * @param demand      what clients of the gateway ask of each pool now
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
     * Tells a gateway which windows are closed: their counts need not be reported any more.
     *
     * @param incarnation   the gateway's incarnation
     * @param closedWindows the numbers of the windows
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
     * @param isComplete whether the gateway's clock has passed its end, so that nothing more is counted in it
     * @param counts     the requests that began to run, by tenant
     */
    record WindowCounts(long window, boolean isComplete, List<Value.TenantCount> counts) {
        /** Copies the counts. */
        public WindowCounts {
            counts = List.copyOf(counts);
        }
    }

    /**
     * What the clients of one gateway ask of one pool, averaged over the last seconds.
     *
     * @param pool              the pool's name
     * @param arrivalsPerSecond the requests that came
     * @param openRequests      the requests that run or wait
     * @param openTokens        the tokens of their prompts and responses
     */
    record PoolDemand(String pool, double arrivalsPerSecond, double openRequests, double openTokens) {}
}
