package silverlatch.server.metrics;

import silverlatch.clock.ProcessClock;
import silverlatch.node.Node;
import silverlatch.server.transport.Transport;

/** The metrics of the clock, the node and the transport, which every process of a cluster has. */
public final class NodeMetrics {
    private NodeMetrics() {}

    /** Adds the metrics to a page. Must be called on the node's event loop. */
    public static void add(final MetricsPage page, final Node node, final Transport transport) {
        final ProcessClock.Counts clock = node.processClock().counts();
        page.put("clock_waits", "tide_waits", clock.waits());
        page.put("clock_overflows", "tide_carries", clock.overflows());
        page.put("clock_too_far_ahead", "tide_far", clock.tooFarAhead());
        page.put("clock_dropped", "tide_dropped", clock.dropped());
        page.putAll("node_", "deck_", node.counters());
        page.put("wire_bad", transport.malformedFrames());
        page.put("wire_dropped", transport.droppedFrames());
    }
}
