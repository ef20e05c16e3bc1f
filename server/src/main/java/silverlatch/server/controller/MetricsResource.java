package silverlatch.server.controller;

import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.metrics.MetricsPage;
import silverlatch.server.metrics.NodeMetrics;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.HttpExchange;

/** The controller's metrics ({@code /metrics}). */
final class MetricsResource {
    private final EventLoopHandle eventLoop;
    private final Transport transport;

    MetricsResource(final EventLoopHandle eventLoop, final Transport transport) {
        this.eventLoop = eventLoop;
        this.transport = transport;
    }

    /** Replies with the metrics as lines of text. */
    void get(final HttpExchange exchange) {
        eventLoop.execute(node -> {
            final MetricsPage page = new MetricsPage();
            NodeMetrics.add(page, node, transport);
            node.chainReplica()
                    .ifPresent(replica -> page.put(
                            "replication_sequence",
                            "quay_sequence",
                            replica.stateMachine().sequence()));
            exchange.replyText(page.text());
        });
    }
}
