package silverlatch.server.gateway;

import java.nio.file.Path;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.persistence.SavedConfiguration;
import silverlatch.server.persistence.SavedWorkerReports;

/**
 * The configuration and the worker reports that a gateway with a data directory saves, so that after a restart it can serve
 * requests and inform its peers before a controller is available again. Owned by the node's event loop.
 */
final class SavedState {
    private final Node node;
    private final SavedConfiguration configuration;
    private final SavedWorkerReports roster;

    SavedState(final Path dataDirectory, final Node node) {
        this.node = node;
        this.configuration = new SavedConfiguration(dataDirectory);
        this.roster = new SavedWorkerReports(dataDirectory);
    }

    /** Restores the saved state to the node and starts the thread that saves. Must be called before the event loop starts. */
    void restore() {
        configuration.restore(node.gossip());
        node.gossip().restoreReports(roster.read(), EventLoop.nowMicros());
        roster.start();
    }

    /** Saves the configuration and the worker reports that changed since they were last saved. */
    void saveIfChanged() {
        configuration.saveIfChanged(node.gossip());
        roster.saveIfChanged(node.gossip(), EventLoop.nowMicros());
    }
}
