package silverlatch.server.controller;

import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.metrics.MetricsPage;
import silverlatch.server.metrics.NodeMetrics;
import silverlatch.server.provider.CloudProvider;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.HttpExchange;

/** The controller's metrics ({@code /metrics}). */
final class MetricsResource {
    private final EventLoopHandle eventLoop;
    private final Transport transport;
    private final Supplier<Map<CloudProvider.Outcome, Long>> providerCallCounts;

    /**
     * Creates the resource.
     *
     * @param providerCallCounts counts the calls of the cloud provider by outcome; read on the event loop
     */
    MetricsResource(
            final EventLoopHandle eventLoop,
            final Transport transport,
            final Supplier<Map<CloudProvider.Outcome, Long>> providerCallCounts) {
        this.eventLoop = eventLoop;
        this.transport = transport;
        this.providerCallCounts = providerCallCounts;
    }

    /** Replies with the metrics as lines of text; never replies if the event loop's queue is full. */
    void get(final HttpExchange exchange) {
        eventLoop.execute(node -> {
            final MetricsPage page = new MetricsPage();
            NodeMetrics.add(page, node, transport);
            node.chainReplica()
                    .ifPresent(replica -> page.put(
                            "replication_sequence",
                            "quay_sequence",
                            replica.stateMachine().sequence()));
            providerCallCounts
                    .get()
                    .forEach((outcome, count) ->
                            page.put("provider_" + outcome.name().toLowerCase(Locale.ROOT), count));
            exchange.replyText(page.text());
        });
    }
}
