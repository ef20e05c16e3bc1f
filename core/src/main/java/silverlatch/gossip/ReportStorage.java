package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.node.Effect;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Saves a node's worker reports on its disk, and tells which of them are there. At most one write is in progress; what
 * changes meanwhile is in the next one. A node without a disk saves nothing, and what it holds counts as saved.
 *
 * <p>Invariant: a version counts as saved only once a write that contains it was synced. Only the node's event loop calls
 * this class.
 */
final class ReportStorage {
    private final WorkerReports reports;
    private final Safeguards safeguards;
    private final List<Effect> effects = new ArrayList<>();
    private Map<String, ReportVersion> saved = Map.of();
    private long savedDigest;
    private Optional<PendingWrite> pendingWrite = Optional.empty();
    private boolean isOpen;
    private long lastToken;
    private long lastSynced;

    /** A write in progress: its token, the versions of its reports by worker, and the digest of all versions. */
    private record PendingWrite(long token, Map<String, ReportVersion> versions, long digest) {}

    ReportStorage(final WorkerReports reports, final Safeguards safeguards) {
        this.reports = reports;
        this.safeguards = safeguards;
    }

    /**
     * Starts saving, after the reports that were saved before the restart have been merged. Until the first write nothing
     * counts as saved.
     */
    void open() {
        isOpen = true;
    }

    /** Writes the reports if they have changed since the last write and none is in progress. */
    void saveIfChanged(final long now) {
        if (!isOpen
                || pendingWrite.isPresent()
                || savedDigest == reports.digests().total()) {
            return;
        }
        lastToken++;
        final List<WorkerReport> all = reports.all(now);
        final Map<String, ReportVersion> versions = new HashMap<>();
        all.forEach(report -> versions.put(report.id(), report.version()));
        pendingWrite = Optional.of(
                new PendingWrite(lastToken, versions, reports.digests().total()));
        effects.add(new Effect.SaveReports(lastToken, all));
    }

    /** Records that a write was synced; ignores an unknown one. */
    void onSaved(final long token) {
        pendingWrite.filter(write -> write.token() == token).ifPresent(write -> {
            saved = write.versions();
            savedDigest = write.digest();
            lastSynced = token;
            pendingWrite = Optional.empty();
        });
    }

    /** Returns the number of the write after which everything that this node holds now is on its disk. */
    long writeOfCurrentReports() {
        final long digest = reports.digests().total();
        if (!isOpen || !safeguards.isEnabled(Safeguard.REPORT_SYNC) || savedDigest == digest) {
            return lastSynced;
        }
        return pendingWrite.filter(write -> write.digest() == digest).isPresent() ? lastToken : lastToken + 1;
    }

    /** Returns whether a write, or a later one, is synced. */
    boolean isSynced(final long write) {
        return lastSynced >= write;
    }

    /** Returns whether a report that would survive a restart of this node is at least as new as the given version. */
    boolean isSaved(final ReportVersion version) {
        return !isOpen
                || !safeguards.isEnabled(Safeguard.REPORT_SYNC)
                || Optional.ofNullable(saved.get(version.id()))
                        .filter(held -> !Versions.isNewer(version, held))
                        .isPresent();
    }

    /** Returns the pending writes, and removes them. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }
}
