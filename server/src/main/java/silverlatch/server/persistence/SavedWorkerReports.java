package silverlatch.server.persistence;

import java.nio.file.Path;
import java.util.List;
import silverlatch.gossip.WorkerReport;
import silverlatch.server.eventloop.ReportStore;
import silverlatch.wire.GossipMessage;

/**
 * The file with the newest known worker reports. After a power failure of all machines, requests therefore don't have to wait until each
 * worker has announced itself again, and workers that were known to drain or to be gone get none. A worker's next report supersedes its
 * saved one.
 */
public final class SavedWorkerReports implements ReportStore {
    private final MessageFile<GossipMessage.MissingReports> file;

    /** Creates an object for the file in a data directory. */
    public SavedWorkerReports(final Path dataDirectory) {
        this.file = new MessageFile<>(dataDirectory.resolve("workers"), GossipMessage.MissingReports.class);
    }

    /** Returns the reports that were written last; empty if there are none or the file is damaged. */
    @Override
    public List<WorkerReport> read() {
        return file.read().map(GossipMessage.MissingReports::reports).orElse(List.of());
    }

    /** Starts the thread that writes the file. */
    public void start() {
        file.start();
    }

    /** Queues reports for writing; a write that fails is repeated, unless newer reports are queued. */
    @Override
    public boolean save(final List<WorkerReport> reports, final Runnable onSaved) {
        return file.offer(new GossipMessage.MissingReports(0, reports, List.of(), List.of(), List.of()), onSaved);
    }
}
