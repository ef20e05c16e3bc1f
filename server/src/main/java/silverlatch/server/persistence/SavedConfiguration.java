package silverlatch.server.persistence;

import java.nio.file.Path;
import silverlatch.gossip.Gossip;
import silverlatch.wire.GossipMessage;

/**
 * The file with the configuration that a gateway used last. If no controller is up when the gateway starts, the gateway and its peers may
 * route by this configuration for a short time. The saved configuration was committed, but it may be older than the one that was in use
 * when the process ended.
 */
public final class SavedConfiguration {
    private final MessageFile<GossipMessage.GossipPullReply> file;

    /** Accessed on the event loop only. */
    private long savedRevision;

    /** Creates an object for the file in a data directory. */
    public SavedConfiguration(final Path dataDirectory) {
        this.file = new MessageFile<>(dataDirectory.resolve("configuration"), GossipMessage.GossipPullReply.class);
    }

    /** Restores the saved configuration, if any, into the gossip of a node that hasn't started; starts the thread that writes the file. */
    public void restore(final Gossip gossip) {
        file.read().ifPresent(gossip::restoreState);
        savedRevision = gossip.stateMachine().policyRevision();
        file.start();
    }

    /** Queues the configuration for writing if it changed since it was last queued, unless the previous one is still queued. */
    public void saveIfChanged(final Gossip gossip) {
        final long revision = gossip.stateMachine().policyRevision();
        if (revision > savedRevision && file.offer(gossip.stateToSave())) {
            savedRevision = revision;
        }
    }
}
