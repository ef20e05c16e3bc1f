package silverlatch.gossip;

import silverlatch.node.Effect;
import silverlatch.node.Event;

/** Creates the log events about workers. */
final class WorkerEvents {
    private static final long MICROS_PER_MILLI = 1_000;

    private WorkerEvents() {}

    static Effect.Log known(final Worker worker) {
        return new Effect.Log(Event.WORKER_KNOWN, worker.id() + " " + worker.address() + " zone " + worker.zone());
    }

    static Effect.Log draining(final Worker worker) {
        return new Effect.Log(Event.WORKER_LEAVING, worker.id());
    }

    static Effect.Log silent(final Worker worker, final long silentMicros) {
        return new Effect.Log(Event.WORKER_SILENT, worker.id() + " for " + silentMicros / MICROS_PER_MILLI + " ms");
    }

    static Effect.Log gone(final Worker worker) {
        return new Effect.Log(Event.WORKER_GONE, worker.id() + " incarnation " + worker.incarnation());
    }
}
