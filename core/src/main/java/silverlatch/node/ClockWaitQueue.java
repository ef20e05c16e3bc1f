package silverlatch.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import silverlatch.clock.ProcessClock;

/** Frames or messages that wait, in their order, until the process clock can stamp them again after an overflow. */
final class ClockWaitQueue<T> {
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    void clear() {
        waiting.clear();
    }

    /** Processes an item now if nothing waits and it can be stamped; else it waits. */
    void processOrAdd(final T item, final Predicate<T> process, final long now) {
        if (!waiting.isEmpty() || !process.test(item)) {
            waiting.add(new Waiting<>(item, now));
        }
    }

    /** Processes what waits, until an item has to wait on. */
    void process(final Predicate<T> process) {
        while (!waiting.isEmpty() && process.test(waiting.peek().item())) {
            waiting.poll();
        }
    }

    /** Removes what has waited for longer than {@link ProcessClock#MAX_WAIT_MICROS}; returns how many items. */
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
