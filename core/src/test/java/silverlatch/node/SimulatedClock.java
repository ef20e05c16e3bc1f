package silverlatch.node;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A simulated clock that runs scheduled jobs; its time doesn't change while a job runs. Jobs due at the same time run in scheduling order. */
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

    /** Runs a job now and then repeatedly at the given interval, in microseconds. */
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

    /** Advances time until a condition holds; returns the elapsed time in microseconds, or -1 if the limit was exceeded. */
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
