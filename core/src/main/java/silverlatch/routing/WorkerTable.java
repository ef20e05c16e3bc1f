package silverlatch.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.gossip.Gossip;

/** The workers that are known, ordered by id, and which of their regions can be reached. Owned by the routing event loop. */
final class WorkerTable {
    private final long prefixLifetime;
    private final Map<String, WorkerState> workers = new TreeMap<>();
    private final Map<String, Reachability> reachabilityByRegion = new HashMap<>();

    /** A table without workers; their caches are taken to hold a part of a prompt for so long after its last use. */
    WorkerTable(final long prefixLifetime) {
        this.prefixLifetime = prefixLifetime;
    }

    /** Takes the newest reports; workers without one are forgotten when no attempt is in flight there. */
    void update(final Map<String, Gossip.ObservedWorker> reports, final long now) {
        reports.forEach(
                (id, report) -> workers.computeIfAbsent(id, added -> new WorkerState(report, prefixLifetime, now))
                        .update(report, now));
        workers.values().removeIf(worker -> worker.attemptCount() == 0 && !reports.containsKey(worker.id()));
    }

    /** A worker that an attempt is in flight at. */
    WorkerState get(final String id) {
        return workers.get(id);
    }

    /** A worker, if it is known. */
    Optional<WorkerState> find(final String id) {
        return Optional.ofNullable(workers.get(id));
    }

    /** All workers, ordered by id. */
    Collection<WorkerState> all() {
        return workers.values();
    }

    /** The workers of a pool, ordered by id. */
    List<WorkerState> ofPool(final String pool) {
        return workers.values().stream()
                .filter(worker -> worker.worker().pool().equals(pool))
                .toList();
    }

    /** The reachability of a worker's region. */
    Reachability reachabilityOf(final WorkerState worker) {
        return reachabilityByRegion.computeIfAbsent(worker.worker().region(), Reachability::new);
    }
}
