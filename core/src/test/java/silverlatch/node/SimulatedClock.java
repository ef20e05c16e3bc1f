package silverlatch.node;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A clock that stands still between scheduled jobs; jobs of one moment run in the order in which they were scheduled. */
final class SimulatedClock {
    private static final long POLL_INTERVAL = 10_000;
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
    private long now;
    private long scheduled;

    SimulatedClock(final long start) {
        this.now = start;
    }

    long now() {
        return now;
    }

    void schedule(final long time, final Runnable job) {
        queue.add(new Scheduled(time, scheduled++, job));
    }

    /** Runs a job now and after each such time. */
    void every(final long interval, final Runnable job) {
        job.run();
        schedule(now + interval, () -> every(interval, job));
    }

    void advance(final long duration) {
        final long end = now + duration;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final Scheduled next = queue.poll();
            now = next.at();
            next.job().run();
        }
        now = end;
    }

    /** Passes time until something holds; returns how long that took, or -1 where it didn't come within the limit. */
    long advanceUntil(final long limit, final BooleanSupplier condition) {
        final long from = now;
        while (!condition.getAsBoolean()) {
            if (now - from > limit) {
                return -1;
            }
            advance(POLL_INTERVAL);
        }
        return now - from;
    }

    private record Scheduled(long at, long order, Runnable job) {}
}
