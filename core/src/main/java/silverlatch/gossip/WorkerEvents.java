package silverlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.node.Effect;
import silverlatch.node.Event;

/** Creates the log events about workers. */
final class WorkerEvents {
    private static final long MICROS_PER_MILLI = 1_000;

    private WorkerEvents() {}

    /**
     * Returns the event of a report that replaces another one, or none.
     *
     * @param before the report that it replaces; empty if the worker wasn't known
     */
    static List<Effect> ofChange(final Optional<TrackedReport> before, final WorkerReport report) {
        final Worker worker = report.worker();
        final Optional<WorkerReport> sameIncarnation =
                before.map(TrackedReport::report).filter(r -> r.worker().incarnation() == worker.incarnation());
        final List<Effect> events = new ArrayList<>();
        if (before.isEmpty() && !report.gone()) {
            events.add(known(worker));
        }
        if (report.gone() && before.isPresent()) {
            events.add(gone(worker));
        } else if (report.silent()
                && sameIncarnation.filter(WorkerReport::silent).isEmpty()) {
            events.add(silent(worker, report.age()));
        } else if (worker.draining()
                && sameIncarnation.filter(r -> r.worker().draining()).isEmpty()) {
            events.add(draining(worker));
        }
        return events;
    }

    static Effect.Log known(final Worker worker) {
        return new Effect.Log(Event.WORKER_KNOWN, worker.id() + " " + worker.address() + " zone " + worker.zone());
    }

    static Effect.Log draining(final Worker worker) {
        return new Effect.Log(Event.WORKER_LEAVING, worker.id());
    }

    private static Effect.Log silent(final Worker worker, final long silentMicros) {
        return new Effect.Log(Event.WORKER_SILENT, worker.id() + " for " + silentMicros / MICROS_PER_MILLI + " ms");
    }

    private static Effect.Log gone(final Worker worker) {
        return new Effect.Log(Event.WORKER_GONE, worker.id() + " incarnation " + worker.incarnation());
    }
}
