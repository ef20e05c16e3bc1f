package silverlatch.server.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The text of a process's metrics: a line {@code silverlatch_NAME VALUE} each, ordered by name. For one thread at a time.
 */
public final class MetricsPage {
    private static final String PREFIX = "silverlatch_";
    private final Map<String, Long> values = new TreeMap<>();

    /** Adds a metric; the name is without the product's prefix. */
    public void put(final String name, final long value) {
        values.put(name, value);
    }

    /** Adds counters by name under a prefix. */
    public void putAll(final String prefix, final Map<String, Long> counters) {
        counters.forEach((name, value) -> put(prefix + name, value));
    }

    /** All lines. */
    public String text() {
        return values.entrySet().stream()
                .map(metric -> PREFIX + metric.getKey() + " " + metric.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
