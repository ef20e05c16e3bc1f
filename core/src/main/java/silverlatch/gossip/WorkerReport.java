package silverlatch.gossip;

import java.util.List;
import silverlatch.wire.Message;

/**
 * A word on a worker as it travels between daemons; its spans are those of the moment at which it is sent.
 *
 * @param worker what it said of itself when it last changed
 * @param silent whether no controller has heard from it for long
 * @param gone   whether this life of it is over
 * @param age    how long it has been silent or gone, in microseconds
 */
public record WorkerReport(Worker worker, boolean silent, boolean gone, long age) {
    /** A worker's own word; what it repeats with each call stays behind. */
    public static WorkerReport of(final Worker worker) {
        return new WorkerReport(
                new Worker(
                        worker.id(),
                        worker.address(),
                        worker.zone(),
                        worker.region(),
                        worker.incarnation(),
                        worker.sequence(),
                        0,
                        0,
                        worker.slots(),
                        List.of(),
                        worker.draining(),
                        worker.uptime(),
                        worker.pool(),
                        worker.warmupRemaining(),
                        worker.lifetimeRemaining()),
                false,
                false,
                0);
    }

    /** The worker's name. */
    public String id() {
        return worker.id();
    }

    /** The place of this word among those of one life: the end goes before all, silence before the word it follows. */
    public long precedence() {
        return gone ? Long.MAX_VALUE : Math.min(worker.sequence(), Long.MAX_VALUE / 4) * 2 + (silent ? 1 : 0);
    }

    /** Whether this word goes before the other. */
    public boolean isNewerThan(final WorkerReport other) {
        return worker.incarnation() != other.worker.incarnation()
                ? worker.incarnation() > other.worker.incarnation()
                : precedence() > other.precedence();
    }

    /** Whether this word goes before a mark. */
    public boolean isNewerThan(final Message.ReportVersion version) {
        return worker.incarnation() != version.incarnation()
                ? worker.incarnation() > version.incarnation()
                : precedence() > version.sequence();
    }

    /** What is held of it, in short. */
    public Message.ReportVersion version() {
        return new Message.ReportVersion(id(), worker.incarnation(), precedence());
    }

    /** The same word so much later. */
    public WorkerReport agedBy(final long elapsed) {
        return new WorkerReport(worker.agedBy(elapsed), silent, gone, silent || gone ? age + elapsed : 0);
    }
}
