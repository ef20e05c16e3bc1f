package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReport;
import silverlatch.log.LogRecord;
import silverlatch.wire.GossipMessage;

/** The disk of a machine of a {@link NodeCluster}: what its process has synced, and what the next process reads back. */
final class MachineDisk {
    private static final long DEFAULT_SYNC_DELAY = 2_000L;
    private final List<LogRecord> records = new ArrayList<>();
    private String identity;
    private Optional<GossipMessage.GossipPullReply> configuration = Optional.empty();
    private List<WorkerReport> reports = List.of();
    private boolean isStalled;
    private long syncDelay = DEFAULT_SYNC_DELAY;

    MachineDisk(final String identity) {
        this.identity = identity;
    }

    String identity() {
        return identity;
    }

    List<LogRecord> records() {
        return records;
    }

    boolean isStalled() {
        return isStalled;
    }

    /** Returns how long a write takes until it is synced, in microseconds. */
    long syncDelay() {
        return syncDelay;
    }

    void setSyncDelay(final long micros) {
        syncDelay = micros;
    }

    /** Accepts no further writes until the disk is erased. */
    void stall() {
        isStalled = true;
    }

    void append(final List<LogRecord> logged) {
        for (final LogRecord logRecord : logged) {
            if (logRecord instanceof LogRecord.Snapshot) {
                records.clear();
            }
            records.add(logRecord);
        }
    }

    void saveConfiguration(final GossipMessage.GossipPullReply saved) {
        configuration = Optional.of(saved);
    }

    void saveReports(final List<WorkerReport> saved) {
        reports = List.copyOf(saved);
    }

    /** Passes what was saved to the gossip of a node that starts now. */
    void restore(final Gossip gossip, final long localNow) {
        configuration.ifPresent(gossip::restoreState);
        gossip.openReportStorage(reports, localNow);
    }

    /** Erases the disk; it gets a new identity. */
    void wipe(final String newIdentity) {
        records.clear();
        reports = List.of();
        identity = newIdentity;
        isStalled = false;
    }
}
