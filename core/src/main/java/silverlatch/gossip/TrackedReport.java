package silverlatch.gossip;

/**
 * The newest report on a worker that this node holds, and how fresh it is. All times are microseconds of this node's
 * monotonic clock.
 *
 * @param report the report; its remaining warm-up and lifetime refer to {@code measuredAt}
 * @param measuredAt when this node stored the report
 * @param lastHeartbeatAt when any controller last received an announcement from the worker, as far as this node knows
 * @param lastAnnouncedHereAt when the worker last announced itself to this node, or {@link #NEVER}
 * @param highestSequence the highest sequence received in this incarnation; repeated announcements raise it, while
 *                        the report keeps the sequence of the last change
 */
record TrackedReport(
        WorkerReport report, long measuredAt, long lastHeartbeatAt, long lastAnnouncedHereAt, long highestSequence) {
    /** A time before all others. Subtracting it from another time doesn't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** By how many microseconds a remaining time may differ from the expected one without counting as a change. */
    private static final long TOLERANCE = 500_000L;

    /** The tolerance is at least the remaining time divided by this. */
    private static final long TOLERANCE_DIVISOR = 8;

    /** Returns the entry of a worker that has just announced itself to this node. */
    static TrackedReport ofAnnouncement(final WorkerReport report, final long now) {
        return new TrackedReport(report, now, now, now, report.worker().sequence());
    }

    String id() {
        return report.id();
    }

    long incarnation() {
        return report.worker().incarnation();
    }

    /** Returns whether the worker's incarnation has ended. */
    boolean isGone() {
        return report.gone();
    }

    /** Returns whether the worker is neither silent nor gone. */
    boolean isActive() {
        return !report.silent() && !report.gone();
    }

    /** Returns whether an announcement is outdated: a later one is known, or its incarnation has ended. */
    boolean supersedes(final Worker announced) {
        return announced.incarnation() < incarnation()
                || announced.incarnation() == incarnation()
                        && (report.gone() || announced.sequence() <= highestSequence);
    }

    /** Returns whether an announcement changes something that has to be propagated to other nodes. */
    boolean differsFrom(final Worker announced, final long now) {
        final Worker known = reportAt(now).worker();
        return report.silent()
                || announced.incarnation() != known.incarnation()
                || announced.draining() != known.draining()
                || announced.slots() != known.slots()
                || !announced.address().equals(known.address())
                || !announced.zone().equals(known.zone())
                || !announced.region().equals(known.region())
                || !announced.pool().equals(known.pool())
                || differs(announced.warmupRemaining(), known.warmupRemaining(), TOLERANCE)
                || announced.lifetimeRemaining() == 0 != (known.lifetimeRemaining() == 0)
                || differs(announced.lifetimeRemaining(), known.lifetimeRemaining(), 4 * TOLERANCE);
    }

    private static boolean differs(final long announced, final long known, final long tolerance) {
        return Math.abs(announced - known) > Math.max(tolerance, known / TOLERANCE_DIVISOR);
    }

    /** Returns this entry after an announcement that only repeats the report. */
    TrackedReport onHeartbeat(final long sequence, final long now) {
        return new TrackedReport(report, measuredAt, now, now, sequence);
    }

    /** Returns this entry with a later time of the last heartbeat. */
    TrackedReport withLastHeartbeatAt(final long time) {
        return new TrackedReport(report, measuredAt, time, lastAnnouncedHereAt, highestSequence);
    }

    /** Returns this entry with another report on the same incarnation. */
    TrackedReport withReport(final WorkerReport changed, final long now) {
        return new TrackedReport(changed, now, lastHeartbeatAt, lastAnnouncedHereAt, highestSequence);
    }

    /**
     * Returns the report as of a time after {@code measuredAt}: the remaining times are shorter, and the time since
     * the worker became silent or gone is longer.
     */
    WorkerReport reportAt(final long now) {
        return report.agedBy(now - measuredAt);
    }

    /** Returns for how many microseconds the worker has been silent or gone. */
    long inactiveFor(final long now) {
        return report.age() + now - measuredAt;
    }

    /** Returns a version that identifies the worker's incarnation only, independent of the report. */
    ReportVersion incarnationVersion() {
        return new ReportVersion(id(), incarnation(), 0);
    }
}
