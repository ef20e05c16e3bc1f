package silverlatch.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/** What this gateway knows of its own attempts at each worker. Owned by the dispatch event loop. */
final class WorkerUsageTable {
    private final long ejectionTime;
    private final Map<String, WorkerUsage> usageByWorker = new HashMap<>();

    /** A table in which a worker that failed an attempt is ejected for so many microseconds. */
    WorkerUsageTable(final long ejectionTime) {
        this.ejectionTime = ejectionTime;
    }

    /** Takes new reports of workers. */
    void observe(final Map<String, Gossip.ObservedWorker> reports, final long now) {
        reports.values().forEach(report -> usageOf(report).observe(report, now));
    }

    /** Forgets the workers without a report where nothing of this gateway is in flight. */
    void retain(final Map<String, Gossip.ObservedWorker> reports) {
        usageByWorker
                .entrySet()
                .removeIf(usage ->
                        !reports.containsKey(usage.getKey()) && usage.getValue().isUnused());
    }

    /** An attempt takes a slot of a worker. */
    void attemptStarted(final String worker, final long now) {
        usageByWorker.get(worker).attemptStarted(now);
    }

    /** An attempt gives its slot back. */
    void attemptEnded(final String worker) {
        Optional.ofNullable(usageByWorker.get(worker)).ifPresent(WorkerUsage::attemptEnded);
    }

    /** An attempt failed there: nothing new goes there for a while. */
    void eject(final String worker, final long now) {
        Optional.ofNullable(usageByWorker.get(worker)).ifPresent(usage -> usage.ejectUntil(now + ejectionTime));
    }

    /** All workers that are known, as the scorers see them, ordered by id. */
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
