package silverlatch.gossip;

/**
 * The newest report on a worker that this node holds, and what it knows of its freshness. All times are microseconds of
 * this node's monotonic clock.
 *
 * @param report          the report; its remaining warm-up and lifetime are those at {@code measuredAt}
 * @param measuredAt      when the report was taken over here
 * @param lastHeartbeatAt         when any controller last heard the worker, as far as is known here
 * @param lastAnnouncedHereAt when the worker last announced itself to this node, or {@link #NEVER}
 * @param highestSequence the highest sequence seen of this incarnation; repeated announcements raise it, while the report
 *                        keeps the sequence of the last change
 */
record TrackedReport(
        WorkerReport report, long measuredAt, long lastHeartbeatAt, long lastAnnouncedHereAt, long highestSequence) {
    /** A time before all others; differences to it don't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** By how much a remaining time may differ from the one expected before that counts as a change, in microseconds. */
    private static final long TOLERANCE = 500_000L;

    /** A tolerated difference is at least one part in so many of the remaining time. */
    private static final long TOLERANCE_DIVISOR = 8;

    /** Returns the report of a worker that has just announced itself to this node. */
    static TrackedReport ofAnnouncement(final WorkerReport report, final long now) {
        return new TrackedReport(report, now, now, now, report.worker().sequence());
    }

    String id() {
        return report.id();
    }

    long incarnation() {
        return report.worker().incarnation();
    }

    /** Returns whether the worker's incarnation is over. */
    boolean isGone() {
        return report.gone();
    }

    /** Returns whether the worker is neither silent nor gone. */
    boolean isActive() {
        return !report.silent() && !report.gone();
    }

    /** Returns whether an announcement comes too late: a later one is known, or the incarnation is over. */
    boolean supersedes(final Worker announced) {
        return announced.incarnation() < incarnation()
                || announced.incarnation() == incarnation()
                        && (report.gone() || announced.sequence() <= highestSequence);
    }

    /** Returns whether an announcement changes something that other nodes have to learn. */
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

    /** Returns this after an announcement that repeats the report. */
    TrackedReport onHeartbeat(final long sequence, final long now) {
        return new TrackedReport(report, measuredAt, now, now, sequence);
    }

    /** Returns this with a later moment at which some controller heard the worker. */
    TrackedReport withLastHeartbeatAt(final long time) {
        return new TrackedReport(report, measuredAt, time, lastAnnouncedHereAt, highestSequence);
    }

    /** Returns this with another report on the same incarnation. */
    TrackedReport withReport(final WorkerReport changed, final long now) {
        return new TrackedReport(changed, now, lastHeartbeatAt, lastAnnouncedHereAt, highestSequence);
    }

    /** Returns the report as of a moment: the remaining times shorter, the age of silence or end longer. */
    WorkerReport reportAt(final long now) {
        return report.agedBy(now - measuredAt);
    }

    /** Returns how long the worker has been silent or gone, in microseconds. */
    long inactiveFor(final long now) {
        return report.age() + now - measuredAt;
    }

    /** Returns the version of the worker's incarnation alone, whatever is reported of it. */
    ReportVersion incarnationVersion() {
        return new ReportVersion(id(), incarnation(), 0);
    }
}
