package silverlatch.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import silverlatch.clock.PhysicalClock;
import silverlatch.state.Value;
import silverlatch.wire.TrafficMessage;

/**
 * Counts the requests that workers began to run for a gateway, by tenant and window, until the windows are closed. The
 * routing event loop counts and the node's event loop reads. Thread-safe.
 *
 * <p>The wall clock is the node's physical clock. It ignores changes to the system's time of day while the process
 * runs; if it was wrong at the start, it is adjusted to the median of the peers. Requests counted before the adjustment
 * stay in the window of the wrong time.
 */
public final class UsageCounter {
    /** How many windows are kept. Beyond that the oldest, which has not been closed for that long, is dropped. */
    static final int MAX_WINDOWS = 60;

    /**
     * How long after its end a window counts as complete, in microseconds. The event loop that counts may lag by this
     * much.
     */
    static final long COMPLETION_SLACK_MICROS = 200_000L;

    private final UsageSchedule schedule;
    private final Supplier<PhysicalClock> clock;
    private final TreeMap<Long, TreeMap<String, Long>> windows = new TreeMap<>();

    /**
     * Creates an empty counter.
     *
     * @param clock returns the node's clock; called by any thread
     */
    public UsageCounter(final UsageSchedule schedule, final Supplier<PhysicalClock> clock) {
        this.schedule = schedule;
        this.clock = clock;
    }

    /**
     * Counts a request of a tenant that began to run now.
     *
     * @param now the monotonic clock time, in microseconds
     */
    public synchronized void count(final String tenant, final long now) {
        final long window = schedule.windowAt(clock.get().unixMicros(now));
        windows.computeIfAbsent(window, number -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
        removeExcess();
    }

    /** Returns whether any window that isn't closed has counts. */
    synchronized boolean hasCounts() {
        return windows.values().stream().anyMatch(counts -> !counts.isEmpty());
    }

    /** Returns the windows that aren't closed in order, including the current one and those without requests. */
    synchronized List<TrafficMessage.WindowCounts> windows(final long now) {
        final long unixMicros = clock.get().unixMicros(now);
        final long current = schedule.windowAt(unixMicros);
        addWindowsUpTo(current);
        final List<TrafficMessage.WindowCounts> counted = new ArrayList<>();
        windows.forEach((window, counts) -> counted.add(new TrafficMessage.WindowCounts(
                window, unixMicros >= schedule.endOf(window) + COMPLETION_SLACK_MICROS, tenantCounts(counts))));
        return counted;
    }

    /** Removes windows that are closed. */
    synchronized void remove(final Collection<Long> closedWindows) {
        closedWindows.forEach(windows::remove);
    }

    /**
     * Adds the missing empty windows up to the current one. Counts of later windows, made before the clock was moved
     * back, are added to the current one.
     */
    private void addWindowsUpTo(final long current) {
        final long newest = Optional.ofNullable(windows.floorKey(current)).orElse(current);
        for (long window = Math.max(newest, current - MAX_WINDOWS); window <= current; window++) {
            windows.computeIfAbsent(window, number -> new TreeMap<>());
        }
        while (windows.lastKey() > current) {
            windows.pollLastEntry()
                    .getValue()
                    .forEach((tenant, count) -> windows.get(current).merge(tenant, count, Long::sum));
        }
        removeExcess();
    }

    private void removeExcess() {
        while (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Returns counts by tenant in the form in which they are sent, ordered by tenant name. */
    static List<Value.TenantCount> tenantCounts(final Map<String, Long> counts) {
        return new TreeMap<>(counts)
                .entrySet().stream()
                        .map(count -> new Value.TenantCount(count.getKey(), count.getValue()))
                        .toList();
    }
}
