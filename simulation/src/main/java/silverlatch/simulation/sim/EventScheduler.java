package silverlatch.simulation.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** One fake clock for everything: events happen in the order of their time, and of their making. */
public final class EventScheduler {
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
    private final SplittableRandom random;
    private long now;
    private long nextNumber;

    /** An engine whose chances follow from the seed. */
    public EventScheduler(final long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** True time in microseconds. */
    public long now() {
        return now;
    }

    /** The source of chance. */
    public SplittableRandom random() {
        return random;
    }

    /** Does something later. */
    public void schedule(final long delay, final Runnable task) {
        queue.add(new ScheduledEvent(now + Math.max(0, delay), nextNumber++, task));
    }

    /** Does something at a time. */
    public void scheduleAt(final long time, final Runnable task) {
        schedule(time - now, task);
    }

    /** Runs up to a time. */
    public void runUntil(final long endTime) {
        while (!queue.isEmpty() && queue.peek().time() <= endTime) {
            final ScheduledEvent event = queue.poll();
            now = event.time();
            event.task().run();
        }
        now = endTime;
    }

    private record ScheduledEvent(long time, long number, Runnable task) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(final ScheduledEvent other) {
            return time == other.time ? Long.compare(number, other.number) : Long.compare(time, other.time);
        }
    }
}
