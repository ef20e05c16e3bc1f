package silverlatch.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/** Tracks this gateway's own attempts at each worker. Used only by the dispatch event loop. */
final class WorkerUsageTable {
    private final long ejectionTime;
    private final Map<String, WorkerUsage> usageByWorker = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param ejectionTime for how many microseconds a worker is ejected after an attempt failed there
     */
    WorkerUsageTable(final long ejectionTime) {
        this.ejectionTime = ejectionTime;
    }

    /** Processes the newest reports of workers. */
    void observe(final Map<String, Gossip.ObservedWorker> reports, final long now) {
        reports.values().forEach(report -> usageOf(report).observe(report, now));
    }

    /** Removes the workers that have no report and no attempt of this gateway in flight. */
    void retain(final Map<String, Gossip.ObservedWorker> reports) {
        usageByWorker
                .entrySet()
                .removeIf(usage ->
                        !reports.containsKey(usage.getKey()) && usage.getValue().isUnused());
    }

    /** Counts an attempt that takes a slot of a worker. */
    void recordAttemptStart(final String worker, final long now) {
        usageByWorker.get(worker).recordAttemptStart(now);
    }

    /** Counts an attempt that has released its slot; a worker that is no longer tracked is ignored. */
    void recordAttemptEnd(final String worker) {
        Optional.ofNullable(usageByWorker.get(worker)).ifPresent(WorkerUsage::recordAttemptEnd);
    }

    /** Ejects a worker for the ejection time after an attempt failed there: it gets no new attempts. */
    void eject(final String worker, final long now) {
        Optional.ofNullable(usageByWorker.get(worker)).ifPresent(usage -> usage.ejectUntil(now + ejectionTime));
    }

    /** Returns the scorers' input about all known workers, ordered by worker id. */
    List<PlacementInput> placementInputs(final ClusterView cluster, final long now) {
        final int gatewayCount = cluster.gatewayCount();
        return cluster.snapshot().workers().values().stream()
                .sorted(Comparator.comparing(report -> report.worker().id()))
                .map(report -> usageOf(report).placementInput(report, now, gatewayCount))
                .toList();
    }

    private WorkerUsage usageOf(final Gossip.ObservedWorker report) {
        return usageByWorker.computeIfAbsent(
                report.worker().id(), id -> new WorkerUsage(report.worker().incarnation()));
    }
}
