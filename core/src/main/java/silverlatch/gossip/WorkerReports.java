package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import silverlatch.membership.Member;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.wire.Message;

/** Words on workers that announce to controllers. What a worker repeats renews its age here; what it changes travels. */
final class WorkerReports {
    private static final int MAX_WORKERS = 4_096;
    private static final long TOLERANCE = 500_000L;
    private static final long SCAN_INTERVAL = 250_000L;
    private static final long PAUSE_THRESHOLD = 1_000_000L;
    private static final int AGE_STEPS = 12;
    private static final int AGE_UNKNOWN = 15;
    private static final int AGES_PER_LONG = 16;
    private final WorkerReporting.ToControllers reporting;
    private final Map<String, TrackedReport> tracked = new TreeMap<>();
    private final Map<String, Long> lastContacts = new HashMap<>();
    private final Map<String, Long> syncedAt = new HashMap<>();
    private final Set<String> drainChanged = new LinkedHashSet<>();
    private final List<Effect> logs = new ArrayList<>();
    private final VersionDigests digests = new VersionDigests();
    private final VersionDigests incarnationDigests = new VersionDigests();
    private Optional<Long> confirmedAt = Optional.empty();
    private Map<String, Gossip.ObservedWorker> workersSnapshot = Map.of();
    private boolean isSnapshotStale;
    private long lastScan = Long.MIN_VALUE / 2;
    private long awakeSince = Long.MIN_VALUE / 2;

    WorkerReports(final WorkerReporting.ToControllers reporting) {
        this.reporting = reporting;
    }

    VersionDigests digests() {
        return digests;
    }

    /** A worker said this here; false when it came late. */
    boolean announce(final Worker announced, final long now) {
        final Optional<TrackedReport> old = Optional.ofNullable(tracked.get(announced.id()));
        if (old.isEmpty() && tracked.size() >= MAX_WORKERS
                || old.filter(i -> i.isStale(announced)).isPresent()) {
            return false;
        }
        final WorkerReport report = WorkerReport.of(announced);
        if (old.filter(i -> !i.differsFrom(announced, now)).isPresent()) {
            tracked.put(announced.id(), old.get().onHeartbeat(announced.sequence(), now));
            isSnapshotStale = true;
            return true;
        }
        store(new TrackedReport(report, now, now, now, announced.sequence()));
        logChange(old, report);
        drainChanged.add(report.id());
        return true;
    }

    /** A worker's life is over; false when it isn't known, true also where that was known before. */
    boolean markGone(final String id, final long now) {
        final Optional<TrackedReport> old = Optional.ofNullable(tracked.get(id));
        old.filter(i -> !i.report().gone()).ifPresent(i -> {
            final WorkerReport report = new WorkerReport(i.reportAt(now).worker(), false, true, 0);
            store(new TrackedReport(report, now, i.heardAt(), i.announcedHereAt(), i.highestSequence()));
            logChange(old, report);
            drainChanged.add(id);
        });
        return old.isPresent();
    }

    /** Takes a word from another daemon; one that came by push is passed on. */
    void merge(final WorkerReport report, final boolean forward, final long now) {
        final Optional<TrackedReport> old = Optional.ofNullable(tracked.get(report.id()));
        if (old.isEmpty() && tracked.size() >= MAX_WORKERS
                || (report.silent() || report.gone()) && report.age() > reporting.retention()
                || !old.map(i -> report.isNewerThan(i.report())).orElse(true)) {
            return;
        }
        final Optional<TrackedReport> same = old.filter(
                i -> i.report().worker().incarnation() == report.worker().incarnation());
        final boolean refuted = report.silent()
                && same.map(i -> now - i.announcedHereAt() < reporting.silenceTimeout()
                                && i.highestSequence() > report.worker().sequence())
                        .orElse(false);
        final WorkerReport accepted = refuted
                ? new WorkerReport(report.worker().withSequence(same.get().highestSequence()), false, false, 0)
                : report;
        final long heardAt = report.silent() || report.gone()
                ? same.map(TrackedReport::heardAt).orElse(now)
                : now;
        store(new TrackedReport(
                accepted,
                now,
                heardAt,
                same.map(TrackedReport::announcedHereAt).orElse(Long.MIN_VALUE / 2),
                Math.max(
                        same.map(TrackedReport::highestSequence).orElse(0L),
                        accepted.worker().sequence())));
        logChange(old, accepted);
        if (forward || refuted) {
            drainChanged.add(report.id());
        }
    }

    /** Words to be passed on; handed over once. */
    List<WorkerReport> drainChanged(final long now) {
        final List<WorkerReport> changedReports = reportsOf(drainChanged, now);
        drainChanged.clear();
        return changedReports;
    }

    /** All words that are neither silent nor gone, as of now. */
    List<WorkerReport> activeReports(final long now) {
        return tracked.values().stream()
                .filter(i -> !i.report().gone() && !i.report().silent())
                .map(i -> i.reportAt(now))
                .toList();
    }

    /** The words on some workers, as of now. */
    List<WorkerReport> reportsOf(final Collection<String> ids, final long now) {
        return ids.stream()
                .flatMap(id -> Optional.ofNullable(tracked.get(id)).stream())
                .map(i -> i.reportAt(now))
                .toList();
    }

    /** What is held in these ranges. */
    List<Message.ReportVersion> versions(final long rangeBits) {
        return tracked.values().stream()
                .filter(i -> VersionDigests.isInRanges(rangeBits, i.report().id()))
                .map(i -> i.report().version())
                .toList();
    }

    /** What is newer here than these marks, which are all that another holds in these ranges. */
    List<WorkerReport> reportsNewerThan(final long rangeBits, final List<Message.ReportVersion> known, final long now) {
        final Map<String, Message.ReportVersion> knownById = new HashMap<>();
        known.forEach(m -> knownById.put(m.id(), m));
        return tracked.values().stream()
                .filter(i -> VersionDigests.isInRanges(rangeBits, i.report().id()))
                .filter(i -> Optional.ofNullable(knownById.get(i.report().id()))
                        .map(i.report()::isNewerThan)
                        .orElse(true))
                .map(i -> i.reportAt(now))
                .toList();
    }

    /** Which of these marks are newer than what is held here. */
    List<String> outdatedWorkers(final List<Message.ReportVersion> known) {
        return known.stream()
                .filter(m -> Optional.ofNullable(tracked.get(m.id()))
                        .map(i -> i.report().version())
                        .map(k -> m.incarnation() != k.incarnation()
                                ? m.incarnation() > k.incarnation()
                                : m.sequence() > k.sequence())
                        .orElse(true))
                .map(Message.ReportVersion::id)
                .toList();
    }

    /** What was here when another was asked was surely all that it knew, and that was the newest at a moment. */
    void confirmedAt(final long asOf) {
        if (confirmedAt.map(s -> s < asOf).orElse(true)) {
            confirmedAt = Optional.of(asOf);
            isSnapshotStale = true;
        }
    }

    /** All that a controller knew at a moment is held here. */
    void markSynced(final String address, final long at) {
        syncedAt.merge(address, at, Math::max);
    }

    /** When the words here were surely the newest: at a controller, when most controllers knew no other. */
    Optional<Long> confirmedAt(final boolean isController, final int controllers, final long now) {
        if (!isController) {
            return confirmedAt;
        }
        final List<Long> times = new ArrayList<>(syncedAt.values());
        times.add(now);
        times.sort((a, b) -> Long.compare(b, a));
        final int majority = controllers / 2 + 1;
        return times.size() < majority ? Optional.empty() : Optional.of(times.get(majority - 1));
    }

    /** How long ago each worker was heard, in steps; only one that knows the same workers can read it. */
    Message.HeartbeatAges heartbeatAges(final long now) {
        final List<TrackedReport> workers = present();
        final long[] ages = new long[(workers.size() + AGES_PER_LONG - 1) / AGES_PER_LONG];
        for (int i = 0; i < workers.size(); i++) {
            final long step =
                    Math.min(AGE_UNKNOWN, Math.max(0, now - workers.get(i).heardAt()) / ageStep());
            ages[i / AGES_PER_LONG] |= step << i % AGES_PER_LONG * 4;
        }
        return new Message.HeartbeatAges(incarnationDigests.total(), ages);
    }

    /** Takes how long ago another controller heard each worker, dated from when it was asked. */
    void heartbeatAges(final Message.HeartbeatAges heartbeats, final String address, final long askedAt) {
        final List<TrackedReport> workers = present();
        if (heartbeats.roster() != incarnationDigests.total()
                || heartbeats.ages().length != (workers.size() + AGES_PER_LONG - 1) / AGES_PER_LONG) {
            return;
        }
        lastContacts.merge(address, askedAt, Math::max);
        for (int i = 0; i < workers.size(); i++) {
            final long step = heartbeats.ages()[i / AGES_PER_LONG] >>> i % AGES_PER_LONG * 4 & AGE_UNKNOWN;
            final long heardAt = askedAt - (step + 1) * ageStep();
            if (step < AGE_UNKNOWN && heardAt > workers.get(i).heardAt()) {
                tracked.put(workers.get(i).report().id(), workers.get(i).heardAt(heardAt));
                isSnapshotStale = true;
            }
        }
    }

    /** A clock event; the controllers are all that are known, without this daemon, if it is one itself. */
    void tick(final boolean isController, final List<Member> controllers, final long now) {
        if (now - lastScan < SCAN_INTERVAL) {
            return;
        }
        if (now - lastScan > PAUSE_THRESHOLD) {
            awakeSince = now;
        }
        lastScan = now;
        final List<TrackedReport> expired = tracked.values().stream()
                .filter(i -> (i.report().silent() || i.report().gone())
                        && i.report().age() + now - i.measuredAt() > reporting.retention())
                .toList();
        expired.forEach(i -> remove(i.report()));
        if (isController && now - awakeSince >= reporting.silenceTimeout()) {
            tracked.values().stream()
                    .filter(i -> !i.report().silent()
                            && !i.report().gone()
                            && now - i.heardAt() > reporting.silenceTimeout())
                    .filter(i -> hearsControllersNear(i.report().worker(), controllers, now))
                    .toList()
                    .forEach(i -> {
                        final WorkerReport report =
                                new WorkerReport(i.reportAt(now).worker(), true, false, now - i.heardAt());
                        store(new TrackedReport(report, now, i.heardAt(), i.announcedHereAt(), i.highestSequence()));
                        logChange(Optional.of(i), report);
                        drainChanged.add(report.id());
                    });
        }
    }

    /** Forgets what makes the words sure. */
    void resetFreshness() {
        confirmedAt = Optional.empty();
        lastContacts.clear();
        syncedAt.clear();
        awakeSince = Long.MIN_VALUE / 2;
        lastScan = Long.MIN_VALUE / 2;
        isSnapshotStale = true;
    }

    /** The workers that are not gone; at a controller as of when they were heard, at a gateway as of when it was sure. */
    Map<String, Gossip.ObservedWorker> workers(final boolean isController) {
        if (isSnapshotStale) {
            final Map<String, Gossip.ObservedWorker> observed = new HashMap<>();
            present()
                    .forEach(i -> observed.put(
                            i.report().id(),
                            new Gossip.ObservedWorker(
                                    i.report().worker(),
                                    isController ? Optional.of(i.heardAt()) : confirmedAt,
                                    i.report().silent(),
                                    i.measuredAt())));
            workersSnapshot = Map.copyOf(observed);
            isSnapshotStale = false;
        }
        return workersSnapshot;
    }

    /** What is to be logged; handed over once. */
    List<Effect> drain() {
        final List<Effect> list = List.copyOf(logs);
        logs.clear();
        return list;
    }

    private long ageStep() {
        return reporting.silenceTimeout() / AGE_STEPS;
    }

    private List<TrackedReport> present() {
        return tracked.values().stream().filter(i -> !i.report().gone()).toList();
    }

    /** Whether this controller knows what the controllers near a worker hear: those of its zone, else its region, else all. */
    private boolean hearsControllersNear(final Worker worker, final List<Member> controllers, final long now) {
        final List<Member> zone =
                controllers.stream().filter(m -> m.zone().equals(worker.zone())).toList();
        final List<Member> near = zone.isEmpty()
                ? controllers.stream()
                        .filter(m -> m.region().equals(worker.region()))
                        .toList()
                : zone;
        return (near.isEmpty() ? controllers : near)
                .stream()
                        .allMatch(m -> Optional.ofNullable(lastContacts.get(m.address()))
                                .map(t -> now - t <= reporting.silenceTimeout() / 2)
                                .orElse(false));
    }

    private void store(final TrackedReport next) {
        Optional.ofNullable(tracked.get(next.report().id())).ifPresent(i -> remove(i.report()));
        tracked.put(next.report().id(), next);
        digests.add(next.report().version());
        if (!next.report().gone()) {
            incarnationDigests.add(incarnationVersion(next.report()));
        }
        isSnapshotStale = true;
    }

    private void remove(final WorkerReport report) {
        tracked.remove(report.id());
        digests.remove(report.version());
        if (!report.gone()) {
            incarnationDigests.remove(incarnationVersion(report));
        }
        isSnapshotStale = true;
    }

    private static Message.ReportVersion incarnationVersion(final WorkerReport report) {
        return new Message.ReportVersion(report.id(), report.worker().incarnation(), 0);
    }

    private void logChange(final Optional<TrackedReport> before, final WorkerReport report) {
        final Optional<WorkerReport> old = before.map(TrackedReport::report)
                .filter(o -> o.worker().incarnation() == report.worker().incarnation());
        final Worker worker = report.worker();
        if (before.isEmpty() && !report.gone()) {
            logs.add(new Effect.Log(
                    Event.WORKER_KNOWN, worker.id() + " " + worker.address() + " zone " + worker.zone()));
        }
        if (report.gone() && before.isPresent()) {
            logs.add(new Effect.Log(Event.WORKER_GONE, worker.id() + " life " + worker.incarnation()));
        } else if (report.silent() && !old.map(WorkerReport::silent).orElse(false)) {
            logs.add(new Effect.Log(Event.WORKER_SILENT, worker.id() + " for " + report.age() / 1000 + " ms"));
        } else if (worker.draining() && !old.map(o -> o.worker().draining()).orElse(false)) {
            logs.add(new Effect.Log(Event.WORKER_LEAVING, worker.id()));
        }
    }

    /**
     * A word and what this daemon knows of its age.
     *
     * @param report  the word, its spans those of a moment
     * @param measuredAt    that moment
     * @param heardAt when a controller last heard the worker, as far as is known here
     * @param announcedHereAt   when it last announced itself here
     * @param highestSequence   the highest sequence of this life
     */
    private record TrackedReport(
            WorkerReport report, long measuredAt, long heardAt, long announcedHereAt, long highestSequence) {
        boolean isStale(final Worker announced) {
            final long incarnation = report.worker().incarnation();
            return announced.incarnation() < incarnation
                    || announced.incarnation() == incarnation
                            && (report.gone() || announced.sequence() <= highestSequence);
        }

        boolean differsFrom(final Worker announced, final long now) {
            final Worker old = report.worker().agedBy(now - measuredAt);
            return report.silent()
                    || announced.incarnation() != old.incarnation()
                    || announced.draining() != old.draining()
                    || announced.slots() != old.slots()
                    || !announced.address().equals(old.address())
                    || !announced.zone().equals(old.zone())
                    || !announced.region().equals(old.region())
                    || !announced.pool().equals(old.pool())
                    || Math.abs(announced.warmupRemaining() - old.warmupRemaining())
                            > Math.max(TOLERANCE, old.warmupRemaining() / 8)
                    || announced.lifetimeRemaining() == 0 != (old.lifetimeRemaining() == 0)
                    || Math.abs(announced.lifetimeRemaining() - old.lifetimeRemaining())
                            > Math.max(4 * TOLERANCE, old.lifetimeRemaining() / 8);
        }

        TrackedReport onHeartbeat(final long sequence, final long now) {
            return new TrackedReport(report, measuredAt, now, now, sequence);
        }

        TrackedReport heardAt(final long time) {
            return new TrackedReport(report, measuredAt, time, announcedHereAt, highestSequence);
        }

        WorkerReport reportAt(final long now) {
            return report.agedBy(now - measuredAt);
        }
    }
}
