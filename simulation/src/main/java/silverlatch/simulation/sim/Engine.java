package silverlatch.simulation.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** One fake clock for everything: events happen in the order of their time, and of their making. */
public final class Engine {
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final SplittableRandom luck;
    private long now;
    private long number;

    /** An engine whose chances follow from the seed. */
    public Engine(final long seed) {
        this.luck = new SplittableRandom(seed);
    }

    /** True time in microseconds. */
    public long now() {
        return now;
    }

    /** The source of chance. */
    public SplittableRandom luck() {
        return luck;
    }

    /** Does something later. */
    public void in(final long span, final Runnable job) {
        queue.add(new Due(now + Math.max(0, span), number++, job));
    }

    /** Does something at a time. */
    public void at(final long time, final Runnable job) {
        in(time - now, job);
    }

    /** Runs up to a time. */
    public void run(final long until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            final Due due = queue.poll();
            now = due.at();
            due.job().run();
        }
        now = until;
    }

    private record Due(long at, long number, Runnable job) implements Comparable<Due> {
        @Override
        public int compareTo(final Due other) {
            return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
        }
    }
}
