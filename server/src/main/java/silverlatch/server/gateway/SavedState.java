package silverlatch.server.gateway;

import java.nio.file.Path;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.persistence.SavedConfiguration;
import silverlatch.server.persistence.WorkerRoster;

/**
 * What a gateway with a data folder keeps of the configuration and of the workers, so that it can serve, and tell its peers, before a
 * controller is up again. Owned by the node's event loop.
 */
final class SavedState {
    private final Node node;
    private final SavedConfiguration configuration;
    private final WorkerRoster roster;

    SavedState(final Path dataDirectory, final Node node) {
        this.node = node;
        this.configuration = new SavedConfiguration(dataDirectory);
        this.roster = new WorkerRoster(dataDirectory);
    }

    /** Gives the node what was saved, and begins to save. Called before the event loop starts. */
    void restore() {
        configuration.restore(node.gossip());
        node.gossip().restoreReports(roster.read(), EventLoop.nowMicros());
        roster.start();
    }

    /** Saves what has changed. */
    void saveIfChanged() {
        configuration.saveIfChanged(node.gossip());
        roster.saveIfChanged(node.gossip(), EventLoop.nowMicros());
    }
}
