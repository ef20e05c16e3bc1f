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
 * Counts the requests that workers began to run for a gateway, by tenant and window, until the windows are closed. The routing event
 * loop counts, the node's event loop reads. Thread-safe.
 *
 * <p>The wall clock is the node's physical clock: it doesn't follow a time of day that is set while the process runs, and where it was
 * off at the start it is moved to the median of the peers. What was counted before that stays in the window of the wrong time.
 */
public final class UsageCounter {
    /** How many windows are kept; beyond that the oldest is given up, which nobody closed for so long. */
    static final int MAX_WINDOWS = 60;

    /** How long after its end a window counts as complete: the event loop that counts may be so far behind, in microseconds. */
    static final long COMPLETION_SLACK_MICROS = 200_000L;

    private final UsageSchedule schedule;
    private final Supplier<PhysicalClock> clock;
    private final TreeMap<Long, TreeMap<String, Long>> windows = new TreeMap<>();

    /** A counter that has counted nothing; the clock may be read by any thread. */
    public UsageCounter(final UsageSchedule schedule, final Supplier<PhysicalClock> clock) {
        this.schedule = schedule;
        this.clock = clock;
    }

    /** Counts a request of a tenant that began to run now, by the monotonic clock in microseconds. */
    public synchronized void count(final String tenant, final long now) {
        final long window = schedule.windowAt(clock.get().unixMicros(now));
        windows.computeIfAbsent(window, number -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
        removeExcess();
    }

    /** Whether anything was counted that isn't closed yet. */
    synchronized boolean hasCounts() {
        return windows.values().stream().anyMatch(counts -> !counts.isEmpty());
    }

    /** The windows that aren't closed yet in their order, the present one among them, also those in which nothing was counted. */
    synchronized List<TrafficMessage.WindowCounts> windows(final long now) {
        final long unixMicros = clock.get().unixMicros(now);
        final long present = schedule.windowAt(unixMicros);
        addWindowsUpTo(present);
        final List<TrafficMessage.WindowCounts> counted = new ArrayList<>();
        windows.forEach((window, counts) -> counted.add(new TrafficMessage.WindowCounts(
                window, unixMicros >= schedule.endOf(window) + COMPLETION_SLACK_MICROS, tenantCounts(counts))));
        return counted;
    }

    /** Forgets windows that are closed. */
    synchronized void remove(final Collection<Long> closedWindows) {
        closedWindows.forEach(windows::remove);
    }

    /** Adds those in which nothing was counted; what was counted before the clock was moved back goes to the present one. */
    private void addWindowsUpTo(final long present) {
        final long newest = Optional.ofNullable(windows.floorKey(present)).orElse(present);
        for (long window = Math.max(newest, present - MAX_WINDOWS); window <= present; window++) {
            windows.computeIfAbsent(window, number -> new TreeMap<>());
        }
        while (windows.lastKey() > present) {
            windows.pollLastEntry()
                    .getValue()
                    .forEach((tenant, count) -> windows.get(present).merge(tenant, count, Long::sum));
        }
        removeExcess();
    }

    private void removeExcess() {
        while (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Counts by tenant as they are sent, in the order of names. */
    static List<Value.TenantCount> tenantCounts(final Map<String, Long> counts) {
        return new TreeMap<>(counts)
                .entrySet().stream()
                        .map(count -> new Value.TenantCount(count.getKey(), count.getValue()))
                        .toList();
    }
}
