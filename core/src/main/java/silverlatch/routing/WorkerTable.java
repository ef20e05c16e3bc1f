package silverlatch.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.gossip.Gossip;

/** The known workers, ordered by id, and the reachability of their regions. Confined to the routing event loop. */
final class WorkerTable {
    private final long prefixLifetime;
    private final Map<String, WorkerState> workers = new TreeMap<>();
    private final Map<String, Reachability> reachabilityByRegion = new HashMap<>();

    /**
     * Creates a table without workers.
     *
     * @param prefixLifetime for how long after its last use a part of a prompt counts as cached at a worker, in
     *                       microseconds
     */
    WorkerTable(final long prefixLifetime) {
        this.prefixLifetime = prefixLifetime;
    }

    /** Applies the newest reports. Workers without a report are removed once they have no attempt in flight. */
    void update(final Map<String, Gossip.ObservedWorker> reports, final long now) {
        reports.forEach(
                (id, report) -> workers.computeIfAbsent(id, added -> new WorkerState(report, prefixLifetime, now))
                        .update(report, now));
        workers.values().removeIf(worker -> worker.attemptCount() == 0 && !reports.containsKey(worker.id()));
    }

    /** Returns a worker that has an attempt in flight. */
    WorkerState get(final String id) {
        return workers.get(id);
    }

    /** Returns a worker, if it is known. */
    Optional<WorkerState> find(final String id) {
        return Optional.ofNullable(workers.get(id));
    }

    /** Returns all workers, ordered by id. */
    Collection<WorkerState> all() {
        return workers.values();
    }

    /** Returns the workers of a pool, ordered by id. */
    List<WorkerState> ofPool(final String pool) {
        return workers.values().stream()
                .filter(worker -> worker.worker().pool().equals(pool))
                .toList();
    }

    /** Returns the reachability of a worker's region. */
    Reachability reachabilityOf(final WorkerState worker) {
        return reachabilityByRegion.computeIfAbsent(worker.worker().region(), Reachability::new);
    }
}
