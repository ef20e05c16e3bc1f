package silverlatch.simulation.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The virtual clock of a simulated day, which runs events in order of their times; events of one time run as they were
 * scheduled.
 */
public final class EventScheduler {
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
    private final SplittableRandom random;
    private long now;
    private long nextNumber;

    /** Creates a scheduler at time 0 whose random numbers are determined by the seed. */
    public EventScheduler(final long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Returns the true time in microseconds since the day began. */
    public long now() {
        return now;
    }

    /** Returns the source of all random choices of the day. */
    public SplittableRandom random() {
        return random;
    }

    /** Schedules a task after a delay in microseconds; a negative delay counts as 0. */
    public void schedule(final long delay, final Runnable task) {
        queue.add(new ScheduledEvent(now + Math.max(0, delay), nextNumber++, task));
    }

    /** Schedules a task at a time, or at the current time if that has passed. */
    public void scheduleAt(final long time, final Runnable task) {
        schedule(time - now, task);
    }

    /** Runs all events up to and including a time, and sets the clock to it. */
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
