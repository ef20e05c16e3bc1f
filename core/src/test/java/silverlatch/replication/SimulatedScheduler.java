package silverlatch.replication;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A simulated clock in microseconds, and tasks that run when it comes to their time, in the order they were scheduled. */
final class SimulatedScheduler {
    private static final long START_MICROS = 1_000_000;
    private static final long POLL_MICROS = 1_000;

    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private long now = START_MICROS;
    private long lastOrder;

    private record ScheduledTask(long at, long order, Runnable task) {}

    long now() {
        return now;
    }

    /** A number that is given once. */
    long nextUniqueNumber() {
        return lastOrder++;
    }

    /** Runs a task at a time. */
    void schedule(final long atMicros, final Runnable task) {
        queue.add(new ScheduledTask(atMicros, nextUniqueNumber(), task));
    }

    /** Passes time and runs what is due meanwhile. */
    void advance(final long spanMicros) {
        final long end = now + spanMicros;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final ScheduledTask task = queue.poll();
            now = task.at();
            task.task().run();
        }
        now = end;
    }

    /** Passes time until something holds; how long it took, or -1 when it did not come. */
    long advanceUntil(final long limitMicros, final BooleanSupplier condition) {
        final long startedAt = now;
        while (!condition.getAsBoolean()) {
            if (now - startedAt > limitMicros) {
                return -1;
            }
            advance(POLL_MICROS);
        }
        return now - startedAt;
    }
}
