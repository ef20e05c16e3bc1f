package silverlatch.server.persistence;

import java.nio.file.Path;
import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReport;
import silverlatch.wire.GossipMessage;

/**
 * The file with the newest known worker reports. After a power failure of all machines, requests therefore don't have to wait until each
 * worker has announced itself again. A worker's next report supersedes its saved one.
 */
public final class SavedWorkerReports {
    private final MessageFile<GossipMessage.MissingReports> file;

    /** Accessed on the event loop only. */
    private long savedDigest;

    /** Creates an object for the file in a data directory. */
    public SavedWorkerReports(final Path dataDirectory) {
        this.file = new MessageFile<>(dataDirectory.resolve("workers"), GossipMessage.MissingReports.class);
    }

    /** Returns the reports that were written last; empty if there are none or the file is damaged. */
    public List<WorkerReport> read() {
        return file.read().map(GossipMessage.MissingReports::reports).orElse(List.of());
    }

    /** Starts the thread that writes the file. */
    public void start() {
        file.start();
    }

    /** Queues the active reports for writing if they changed since they were last queued, unless the previous ones are still queued. */
    public void saveIfChanged(final Gossip gossip, final long now) {
        if (savedDigest != gossip.reportsDigest() && offer(gossip.activeReports(now))) {
            savedDigest = gossip.reportsDigest();
        }
    }

    /** Queues reports for writing; returns false if the previous ones are still queued. */
    boolean offer(final List<WorkerReport> reports) {
        return file.offer(new GossipMessage.MissingReports(0, reports, List.of(), List.of(), List.of()));
    }
}
