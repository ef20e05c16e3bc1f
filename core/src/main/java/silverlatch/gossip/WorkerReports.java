package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import silverlatch.membership.Member;
import silverlatch.node.Effect;
import silverlatch.wire.GossipMessage;

/**
 * The worker reports in a fleet whose workers announce themselves to controllers, one report per worker. An
 * announcement that only repeats the report renews its age at this node; one that changes it is forwarded to other
 * nodes.
 *
 * <p>The reports on a worker are ordered by incarnation and then by {@link WorkerReport#precedence}; an older report
 * never replaces a newer one. Within an incarnation a worker changes between active and silent, and from either to
 * gone, which is final. Invariant: the digests cover exactly the reports in the table. Times are microseconds of this
 * node's monotonic clock. Only the node's event loop calls this class.
 */
final class WorkerReports {
    /** The limit on the number of workers; reports on further workers are ignored. */
    static final int MAX_WORKERS = 4_096;

    /** For how many microseconds a worker is kept after a restart if no controller receives an announcement from it. */
    private static final long RESTORED_RETENTION = 10_000_000L;

    private final WorkerReporting.ToControllers reporting;
    private final boolean isController;
    private final Map<String, TrackedReport> tracked = new TreeMap<>();
    private final Set<String> changedIds = new LinkedHashSet<>();
    private final List<Effect> logs = new ArrayList<>();
    private final VersionDigests digests = new VersionDigests();
    private final VersionDigests incarnationDigests = new VersionDigests();
    private final ReportFreshness freshness = new ReportFreshness();
    private final SilenceDetector silenceDetector;
    private final HeartbeatAgePacker agePacker;
    private Map<String, Gossip.ObservedWorker> workersSnapshot = Map.of();
    private boolean isSnapshotStale;

    /**
     * Creates an empty table.
     *
     * @param isController whether this node is a controller; if not it is a gateway
     */
    WorkerReports(final WorkerReporting.ToControllers reporting, final boolean isController) {
        this.reporting = reporting;
        this.isController = isController;
        this.silenceDetector = new SilenceDetector(reporting.silenceTimeout());
        this.agePacker = new HeartbeatAgePacker(reporting.silenceTimeout());
    }

    /** Returns the digests of the versions of all reports. The caller must not change them. */
    VersionDigests digests() {
        return digests;
    }

    /** Processes an announcement that a worker made to this node; ignores an outdated one. */
    void announce(final Worker announced, final long now) {
        final Optional<TrackedReport> known = find(announced.id());
        if (isFullFor(known) || known.filter(t -> t.supersedes(announced)).isPresent()) {
            return;
        }
        if (known.filter(t -> !t.differsFrom(announced, now)).isPresent()) {
            replaceUnchangedReport(known.get().onHeartbeat(announced.sequence(), now));
            return;
        }
        final WorkerReport report = WorkerReport.of(announced);
        store(TrackedReport.ofAnnouncement(report, now));
        logs.addAll(WorkerEvents.ofChange(known, report));
        changedIds.add(report.id());
    }

    /**
     * Ends a worker's incarnation. Returns false if the worker isn't known; true also if the incarnation had already
     * ended.
     */
    boolean markGone(final String id, final long now) {
        final Optional<TrackedReport> known = find(id);
        known.filter(t -> !t.isGone()).ifPresent(t -> {
            updateReport(t, new WorkerReport(t.reportAt(now).worker(), false, true, 0), now);
        });
        return known.isPresent();
    }

    /**
     * Merges a report from another node unless it is outdated.
     *
     * <p>If it reports a worker as silent that announced itself to this node within the silence time-out, it is
     * refuted: the worker stays active with the highest known sequence, which supersedes the wrong report at every
     * node. A report older than the retention time is ignored, since other nodes may have removed the worker by then:
     * so a node that was partitioned off can't restore a worker that has ended.
     *
     * @param forward whether to forward the report; true if it arrived by a push
     */
    void merge(final WorkerReport report, final boolean forward, final long now) {
        final Optional<TrackedReport> known = find(report.id());
        final boolean isExpired = report.age() > reporting.retention();
        final boolean isOutdated =
                known.filter(t -> !report.isNewerThan(t.report())).isPresent();
        if (isFullFor(known) || isExpired || isOutdated) {
            return;
        }
        final Optional<TrackedReport> sameIncarnation =
                known.filter(t -> t.incarnation() == report.worker().incarnation());
        final boolean isRefuted = report.silent()
                && sameIncarnation.filter(t -> refutes(t, report, now)).isPresent();
        final WorkerReport accepted =
                isRefuted ? report.refutedAt(sameIncarnation.get().highestSequence()) : report;
        store(toTrackedReport(accepted, report, sameIncarnation, now));
        logs.addAll(WorkerEvents.ofChange(known, accepted));
        if (forward || isRefuted) {
            changedIds.add(report.id());
        }
    }

    /**
     * Merges a report that was saved before a restart of this node. How long ago that was isn't known, and the worker may
     * have ended since: unless it announces itself, it is removed after {@link #RESTORED_RETENTION}. That a worker drains
     * or is gone is kept as long as usual, so that it isn't forgotten before what other nodes restore.
     */
    void restore(final WorkerReport saved, final long now) {
        final long age = Math.max(saved.age(), reporting.retention() - RESTORED_RETENTION);
        final boolean isInService = saved.isActive() && !saved.worker().draining();
        merge(isInService ? saved.withAge(age) : saved, false, now);
    }

    /** Returns the changed reports to forward, as of {@code now}, and marks them as forwarded. */
    List<WorkerReport> drainChanged(final long now) {
        final List<WorkerReport> changed = reportsOf(changedIds, now);
        changedIds.clear();
        return changed;
    }

    /** Returns the reports on all workers, including those that are silent or gone, as of {@code now}. */
    List<WorkerReport> all(final long now) {
        return tracked.values().stream().map(t -> outgoingReport(t, now)).toList();
    }

    /** Returns the reports on some workers as of {@code now}, leaving out unknown workers. */
    List<WorkerReport> reportsOf(final Collection<String> ids, final long now) {
        return ids.stream()
                .flatMap(id -> find(id).stream())
                .map(t -> outgoingReport(t, now))
                .toList();
    }

    /** Returns a report as of now; the age of an active worker is for how long it may have been silent unnoticed. */
    private WorkerReport outgoingReport(final TrackedReport known, final long now) {
        final WorkerReport report = known.reportAt(now);
        final long asOf =
                isController ? known.lastHeartbeatAt() : freshness.confirmedAt().orElse(known.lastHeartbeatAt());
        return report.isActive() ? report.withAge(Math.max(0, now - asOf)) : report;
    }

    /** Returns the version of the report on a worker. */
    Optional<ReportVersion> versionOf(final String id) {
        return find(id).map(t -> t.report().version());
    }

    /** Returns whether a worker is known to drain or to be gone. */
    boolean isEnding(final String id) {
        return find(id).map(TrackedReport::report)
                .filter(report -> report.gone() || report.worker().draining())
                .isPresent();
    }

    /** Returns the versions of the reports on workers in the given ranges of ids. */
    List<ReportVersion> versions(final long rangeBits) {
        return tracked.values().stream()
                .filter(t -> VersionDigests.isInRanges(rangeBits, t.id()))
                .map(t -> t.report().version())
                .toList();
    }

    /**
     * Returns the reports in the given ranges that are newer here than at another node.
     *
     * @param known all versions that the other node holds in these ranges
     */
    List<WorkerReport> reportsNewerThan(final long rangeBits, final List<ReportVersion> known, final long now) {
        final Map<String, ReportVersion> knownById = Versions.byId(known);
        return tracked.values().stream()
                .filter(t -> VersionDigests.isInRanges(rangeBits, t.id()))
                .filter(t -> Optional.ofNullable(knownById.get(t.id()))
                        .map(t.report()::isNewerThan)
                        .orElse(true))
                .map(t -> outgoingReport(t, now))
                .toList();
    }

    /** Returns the ids of the workers on which another node holds newer reports. */
    List<String> outdatedWorkers(final List<ReportVersion> known) {
        return known.stream()
                .filter(version -> find(version.id())
                        .map(t -> Versions.isNewer(version, t.report().version()))
                        .orElse(true))
                .map(ReportVersion::id)
                .toList();
    }

    /** Records that the reports here were the newest as of a time. */
    void confirm(final long asOf) {
        isSnapshotStale |= freshness.confirm(asOf);
    }

    /** Records that everything that the controller at an address held as of a time is held here. */
    void markSynced(final String address, final long asOf) {
        freshness.markSynced(address, asOf);
    }

    /**
     * Returns the latest time as of which the reports here are known to be the newest. At a controller a majority of
     * the controllers has to confirm that.
     */
    Optional<Long> confirmedAt(final int controllerCount, final long now) {
        return isController ? freshness.majorityConfirmedAt(controllerCount, now) : freshness.confirmedAt();
    }

    /** Returns the time since the last heartbeat of each worker, for a node that knows the same incarnations. */
    GossipMessage.HeartbeatAges heartbeatAges(final long now) {
        return new GossipMessage.HeartbeatAges(incarnationDigests.total(), agePacker.pack(notGone(), now));
    }

    /**
     * Merges the heartbeat ages of another controller. Ignores them if that controller knows other incarnations.
     *
     * @param pullSentAt when this node sent the pull that the other controller answered; the ages count from then
     */
    void onHeartbeatAges(final GossipMessage.HeartbeatAges heartbeats, final String address, final long pullSentAt) {
        final List<TrackedReport> workers = notGone();
        if (heartbeats.incarnationsDigest() != incarnationDigests.total()
                || !agePacker.fits(heartbeats.ages(), workers.size())) {
            return;
        }
        silenceDetector.recordContact(address, pullSentAt);
        for (int i = 0; i < workers.size(); i++) {
            final OptionalLong lastHeartbeatAt = agePacker.lastHeartbeatAt(heartbeats.ages(), i, pullSentAt);
            if (lastHeartbeatAt.isPresent()
                    && lastHeartbeatAt.getAsLong() > workers.get(i).lastHeartbeatAt()) {
                replaceUnchangedReport(workers.get(i).withLastHeartbeatAt(lastHeartbeatAt.getAsLong()));
            }
        }
    }

    /**
     * Removes the workers that have been silent or gone for the retention time, and, at a controller, those from
     * which no controller has received an announcement for that long. A controller also reports the workers that
     * became silent.
     *
     * @param controllers all other known controllers
     */
    void tick(final List<Member> controllers, final long now) {
        if (!silenceDetector.startScan(now)) {
            return;
        }
        tracked.values().stream().filter(t -> shouldForget(t, now)).toList().forEach(this::remove);
        if (isController && silenceDetector.hasRunUninterrupted(now)) {
            tracked.values().stream()
                    .filter(t -> silenceDetector.isSilent(t, controllers, now))
                    .toList()
                    .forEach(t -> updateReport(
                            t,
                            new WorkerReport(t.reportAt(now).worker(), true, false, now - t.lastHeartbeatAt()),
                            now));
        }
    }

    /**
     * Returns whether to remove a worker. A gateway keeps active workers even while it can reach no controller; a
     * controller keeps them only while some controller receives their announcements.
     */
    private boolean shouldForget(final TrackedReport known, final long now) {
        return known.isActive()
                ? isController && now - known.lastHeartbeatAt() > reporting.retention()
                : known.inactiveFor(now) > reporting.retention();
    }

    /**
     * Removes those of the given workers whose incarnation may have ended so long ago that the other node, which
     * doesn't know them, has already removed them.
     */
    void forgetExpired(final Collection<String> unknownElsewhere, final long now) {
        unknownElsewhere.stream()
                .flatMap(id -> find(id).stream())
                .filter(t -> outgoingReport(t, now).age() > reporting.retention())
                .toList()
                .forEach(this::remove);
    }

    /** Discards the freshness of the reports, as a rejoin requires; the reports stay. */
    void resetFreshness() {
        freshness.reset();
        silenceDetector.reset();
        isSnapshotStale = true;
    }

    /**
     * Returns the workers that are not gone, by id. They are dated to the last heartbeat that any controller
     * received, at a controller, and to the last confirmation of the reports, at a gateway.
     */
    Map<String, Gossip.ObservedWorker> workers() {
        if (isSnapshotStale) {
            final Map<String, Gossip.ObservedWorker> observed = new HashMap<>();
            notGone().forEach(t -> observed.put(t.id(), observe(t)));
            workersSnapshot = Map.copyOf(observed);
            isSnapshotStale = false;
        }
        return workersSnapshot;
    }

    /** Returns the pending log events, and removes them. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(logs);
        logs.clear();
        return drained;
    }

    private Gossip.ObservedWorker observe(final TrackedReport known) {
        return new Gossip.ObservedWorker(
                known.report().worker(),
                isController ? Optional.of(known.lastHeartbeatAt()) : freshness.confirmedAt(),
                known.report().silent(),
                known.measuredAt());
    }

    private boolean refutes(final TrackedReport known, final WorkerReport report, final long now) {
        return now - known.lastAnnouncedHereAt() < reporting.silenceTimeout()
                && known.highestSequence() > report.worker().sequence();
    }

    private static TrackedReport toTrackedReport(
            final WorkerReport accepted,
            final WorkerReport received,
            final Optional<TrackedReport> sameIncarnation,
            final long now) {
        final long knownSequence =
                sameIncarnation.map(TrackedReport::highestSequence).orElse(0L);
        return new TrackedReport(
                accepted,
                now,
                received.isActive()
                        ? now - received.age()
                        : sameIncarnation.map(TrackedReport::lastHeartbeatAt).orElse(now),
                sameIncarnation.map(TrackedReport::lastAnnouncedHereAt).orElse(TrackedReport.NEVER),
                Math.max(knownSequence, accepted.worker().sequence()));
    }

    private Optional<TrackedReport> find(final String id) {
        return Optional.ofNullable(tracked.get(id));
    }

    private boolean isFullFor(final Optional<TrackedReport> known) {
        return known.isEmpty() && tracked.size() >= MAX_WORKERS;
    }

    private List<TrackedReport> notGone() {
        return tracked.values().stream().filter(t -> !t.isGone()).toList();
    }

    private void updateReport(final TrackedReport known, final WorkerReport report, final long now) {
        store(known.withReport(report, now));
        logs.addAll(WorkerEvents.ofChange(Optional.of(known), report));
        changedIds.add(report.id());
    }

    /** Replaces an entry by one with the same report, so that no digest changes. */
    private void replaceUnchangedReport(final TrackedReport next) {
        tracked.put(next.id(), next);
        isSnapshotStale = true;
    }

    private void store(final TrackedReport next) {
        find(next.id()).ifPresent(this::remove);
        tracked.put(next.id(), next);
        digests.add(next.report().version());
        if (!next.isGone()) {
            incarnationDigests.add(next.incarnationVersion());
        }
        isSnapshotStale = true;
    }

    private void remove(final TrackedReport known) {
        tracked.remove(known.id());
        digests.remove(known.report().version());
        if (!known.isGone()) {
            incarnationDigests.remove(known.incarnationVersion());
        }
        isSnapshotStale = true;
    }
}
