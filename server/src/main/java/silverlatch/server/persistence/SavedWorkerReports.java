package silverlatch.server.persistence;

import java.nio.file.Path;
import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReport;
import silverlatch.wire.GossipMessage;

/**
 * The file of the workers last heard of: after all machines have lost their power at once, requests need not wait until each worker
 * has announced itself again. A worker's next report supersedes it.
 */
public final class SavedWorkerReports {
    private final MessageFile<GossipMessage.MissingReports> file;

    /** Owned by the event loop. */
    private long savedDigest;

    /** The roster in a data folder. */
    public SavedWorkerReports(final Path dataDirectory) {
        this.file = new MessageFile<>(dataDirectory.resolve("workers"), GossipMessage.MissingReports.class);
    }

    /** The reports that were written last; empty where there are none or the file is damaged. */
    public List<WorkerReport> read() {
        return file.read().map(GossipMessage.MissingReports::reports).orElse(List.of());
    }

    /** Starts the thread that writes. */
    public void start() {
        file.start();
    }

    /** Hands the active reports over where they changed since, unless the ones before are still being written. */
    public void saveIfChanged(final Gossip gossip, final long now) {
        if (savedDigest != gossip.reportsDigest() && offer(gossip.activeReports(now))) {
            savedDigest = gossip.reportsDigest();
        }
    }

    /** Hands reports to the thread that writes; false while the ones before wait for it. */
    boolean offer(final List<WorkerReport> reports) {
        return file.offer(new GossipMessage.MissingReports(0, reports, List.of(), List.of(), List.of()));
    }
}
