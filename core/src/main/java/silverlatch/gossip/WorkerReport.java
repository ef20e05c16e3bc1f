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
    public static WorkerReport of(final Worker w) {
        return new WorkerReport(
                new Worker(
                        w.id(),
                        w.address(),
                        w.zone(),
                        w.region(),
                        w.life(),
                        w.sequence(),
                        0,
                        0,
                        w.slots(),
                        List.of(),
                        w.leaving(),
                        w.up(),
                        w.pool(),
                        w.cold(),
                        w.rest()),
                false,
                false,
                0);
    }

    /** The worker's name. */
    public String id() {
        return worker.id();
    }

    /** The place of this word among those of one life: the end goes before all, silence before the word it follows. */
    public long rank() {
        return gone ? Long.MAX_VALUE : Math.min(worker.sequence(), Long.MAX_VALUE / 4) * 2 + (silent ? 1 : 0);
    }

    /** Whether this word goes before the other. */
    public boolean after(final WorkerReport old) {
        return worker.life() != old.worker.life() ? worker.life() > old.worker.life() : rank() > old.rank();
    }

    /** Whether this word goes before a mark. */
    public boolean after(final Message.ReportVersion mark) {
        return worker.life() != mark.incarnation() ? worker.life() > mark.incarnation() : rank() > mark.sequence();
    }

    /** What is held of it, in short. */
    public Message.ReportVersion mark() {
        return new Message.ReportVersion(id(), worker.life(), rank());
    }

    /** The same word so much later. */
    public WorkerReport aged(final long span) {
        return new WorkerReport(worker.aged(span), silent, gone, silent || gone ? age + span : 0);
    }
}
