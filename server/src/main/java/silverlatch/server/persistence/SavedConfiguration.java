package silverlatch.server.persistence;

import java.nio.file.Path;
import silverlatch.gossip.Gossip;
import silverlatch.wire.GossipMessage;

/**
 * The file of the configuration that a gateway followed last, which it and its peers may route by for a short time after a start at
 * which no controller is up yet. What is saved was committed; it may be older than what the gateway followed when it ended.
 */
public final class SavedConfiguration {
    private final MessageFile<GossipMessage.GossipPullReply> file;

    /** Owned by the event loop. */
    private long savedRevision;

    /** The file in a data folder. */
    public SavedConfiguration(final Path dataDirectory) {
        this.file = new MessageFile<>(dataDirectory.resolve("configuration"), GossipMessage.GossipPullReply.class);
    }

    /** Gives the gossip of a node that knows nothing yet what was saved; starts the thread that writes. */
    public void restore(final Gossip gossip) {
        file.read().ifPresent(gossip::restoreState);
        savedRevision = gossip.stateMachine().policyRevision();
        file.start();
    }

    /** Hands the configuration over where it changed since, unless the one before is still being written. */
    public void saveIfChanged(final Gossip gossip) {
        final long revision = gossip.stateMachine().policyRevision();
        if (revision > savedRevision && file.offer(gossip.stateToSave())) {
            savedRevision = revision;
        }
    }
}
