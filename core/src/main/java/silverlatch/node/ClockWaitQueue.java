package silverlatch.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import silverlatch.clock.ProcessClock;

/**
 * A FIFO queue of frames or messages that wait, after an overflow of the process clock, until the clock can stamp
 * them.
 */
final class ClockWaitQueue<T> {
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    void clear() {
        waiting.clear();
    }

    /**
     * Processes an item at once if the queue is empty and the item can be stamped; otherwise appends it to the queue.
     *
     * @param process returns whether it could process an item
     */
    void processOrAdd(final T item, final Predicate<T> process, final long now) {
        if (!waiting.isEmpty() || !process.test(item)) {
            waiting.add(new Waiting<>(item, now));
        }
    }

    /** Processes the queued items in order, up to the first that can't be stamped yet. */
    void process(final Predicate<T> process) {
        while (!waiting.isEmpty() && process.test(waiting.peek().item())) {
            waiting.poll();
        }
    }

    /**
     * Removes the items that have waited for longer than {@link ProcessClock#MAX_WAIT_MICROS}. Returns their number.
     */
    int removeExpired(final long now) {
        int removed = 0;
        while (!waiting.isEmpty() && now - waiting.peek().enqueuedAt() > ProcessClock.MAX_WAIT_MICROS) {
            waiting.poll();
            removed++;
        }
        return removed;
    }

    private record Waiting<T>(T item, long enqueuedAt) {}
}
