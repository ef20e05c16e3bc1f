package silverlatch.gossip;

import java.util.List;

/**
 * A report on a worker, as nodes exchange it. Its remaining times and its age refer to the time at which it is sent.
 *
 * <p>Of several reports on a worker the one with the latest incarnation is valid, and within an incarnation the one
 * with the highest {@link #precedence}.
 *
 * @param worker the announcement by which something about the worker last changed
 * @param silent whether no controller received an announcement from it for the silence time-out
 * @param gone whether this incarnation has ended, which is final
 * @param age for how many microseconds the worker has been silent or gone; if it is neither, for how long it may have
 *            been silent without the sender noticing
 */
public record WorkerReport(Worker worker, boolean silent, boolean gone, long age) {
    /** Higher sequences share one precedence, so that doubling them doesn't overflow. */
    private static final long MAX_SEQUENCE = Long.MAX_VALUE / 4;

    /**
     * Returns the report for an announcement, without what changes with every announcement: load, queue and cached
     * prefixes.
     */
    public static WorkerReport of(final Worker worker) {
        return new WorkerReport(
                new Worker(
                        worker.id(),
                        worker.address(),
                        worker.zone(),
                        worker.region(),
                        worker.incarnation(),
                        worker.sequence(),
                        0,
                        0,
                        worker.slots(),
                        List.of(),
                        worker.draining(),
                        worker.uptime(),
                        worker.pool(),
                        worker.warmupRemaining(),
                        worker.lifetimeRemaining()),
                false,
                false,
                0);
    }

    /** Returns the worker's id. */
    public String id() {
        return worker.id();
    }

    /** Returns whether the worker is neither silent nor gone. */
    public boolean isActive() {
        return !silent && !gone;
    }

    /**
     * Returns the rank of this report among those on one incarnation: its end ranks above everything else, and
     * silence directly above the announcement that it follows.
     */
    public long precedence() {
        return gone ? Long.MAX_VALUE : Math.min(worker.sequence(), MAX_SEQUENCE) * 2 + (silent ? 1 : 0);
    }

    /** Returns whether this report supersedes another on the same worker. */
    public boolean isNewerThan(final WorkerReport other) {
        return isNewerThan(other.version());
    }

    /** Returns whether this report supersedes one with the given version. */
    public boolean isNewerThan(final ReportVersion other) {
        return Versions.isNewer(version(), other);
    }

    /** Returns the version of this report, which consists of incarnation and precedence. */
    public ReportVersion version() {
        return new ReportVersion(id(), worker.incarnation(), precedence());
    }

    /** Returns the same report with another age in microseconds. */
    WorkerReport withAge(final long micros) {
        return new WorkerReport(worker, silent, gone, micros);
    }

    /** Returns the report as of {@code elapsed} microseconds later. */
    public WorkerReport agedBy(final long elapsed) {
        return new WorkerReport(worker.agedBy(elapsed), silent, gone, isActive() ? 0 : age + elapsed);
    }

    /** Returns an active report with the given, higher sequence, which supersedes this report of silence. */
    WorkerReport refutedAt(final long sequence) {
        return new WorkerReport(worker.withSequence(sequence), false, false, 0);
    }
}
