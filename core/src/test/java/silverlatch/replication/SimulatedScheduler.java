package silverlatch.replication;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A simulated clock in microseconds that runs scheduled tasks when they are due; tasks of the same time run in the order they were scheduled. */
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

    /** Returns a number that is returned only once. */
    long nextUniqueNumber() {
        return lastOrder++;
    }

    /** Schedules a task for this time. */
    void schedule(final long atMicros, final Runnable task) {
        queue.add(new ScheduledTask(atMicros, nextUniqueNumber(), task));
    }

    /** Advances the clock by this time and runs the tasks that become due. */
    void advance(final long spanMicros) {
        final long end = now + spanMicros;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final ScheduledTask task = queue.poll();
            now = task.at();
            task.task().run();
        }
        now = end;
    }

    /** Advances the clock until the condition holds; returns the time that took, or -1 if the limit passed before. */
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
