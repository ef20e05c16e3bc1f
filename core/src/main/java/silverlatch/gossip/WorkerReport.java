package silverlatch.gossip;

import java.util.List;

/**
 * A report on a worker as it travels between nodes. Remaining times and the age are those of the moment at which it is sent.
 *
 * <p>Of all reports on a worker the one of the latest incarnation counts, and within that the one of the highest
 * {@link #precedence}.
 *
 * @param worker the worker as it announced itself when something about it last changed
 * @param silent whether no controller has heard from it for the silence time-out
 * @param gone   whether this incarnation of it is over; it doesn't come back
 * @param age    how long it has been silent or gone, in microseconds; while it is neither, for how long it may have been silent
 *               unnoticed as far as the sender knows
 */
public record WorkerReport(Worker worker, boolean silent, boolean gone, long age) {
    /** Sequences above this share one precedence, so that doubling them doesn't overflow. */
    private static final long MAX_SEQUENCE = Long.MAX_VALUE / 4;

    /** Returns the report for an announcement, without what changes with each: load, queue and cached prefixes. */
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

    /** Returns the worker's name. */
    public String id() {
        return worker.id();
    }

    /** Returns whether the worker is neither silent nor gone. */
    public boolean isActive() {
        return !silent && !gone;
    }

    /**
     * Returns the rank of this report among those of one incarnation: the end comes after everything, silence right after
     * the announcement that it follows.
     */
    public long precedence() {
        return gone ? Long.MAX_VALUE : Math.min(worker.sequence(), MAX_SEQUENCE) * 2 + (silent ? 1 : 0);
    }

    /** Returns whether this report supersedes another on the same worker. */
    public boolean isNewerThan(final WorkerReport other) {
        return isNewerThan(other.version());
    }

    /** Returns whether this report supersedes one of the given version. */
    public boolean isNewerThan(final ReportVersion other) {
        return Versions.isNewer(version(), other);
    }

    /** Returns the version of this report: incarnation and precedence. */
    public ReportVersion version() {
        return new ReportVersion(id(), worker.incarnation(), precedence());
    }

    /** Returns the same report with another age, in microseconds. */
    WorkerReport withAge(final long micros) {
        return new WorkerReport(worker, silent, gone, micros);
    }

    /** Returns this report so many microseconds later. */
    public WorkerReport agedBy(final long elapsed) {
        return new WorkerReport(worker.agedBy(elapsed), silent, gone, isActive() ? 0 : age + elapsed);
    }

    /** Returns an active report under a later sequence, which supersedes this report of silence. */
    WorkerReport refutedAt(final long sequence) {
        return new WorkerReport(worker.withSequence(sequence), false, false, 0);
    }
}
