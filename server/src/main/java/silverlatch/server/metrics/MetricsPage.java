package silverlatch.server.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The text of a process's metrics: a line {@code silverlatch_NAME VALUE} each, ordered by name. For one thread at a time.
 *
 * <p>A metric that was renamed stands there under its former name too, for one version, so that dashboards can follow.
 */
public final class MetricsPage {
    private static final String PREFIX = "silverlatch_";
    private final Map<String, Long> values = new TreeMap<>();

    /** Adds a metric; the name is without the product's prefix. */
    public void put(final String name, final long value) {
        values.put(name, value);
    }

    /** Adds a metric under its name and under the one it had in the version before. */
    public void put(final String name, final String deprecatedName, final long value) {
        put(name, value);
        put(deprecatedName, value);
    }

    /** Adds counters by name under a prefix and under the one they had in the version before. */
    public void putAll(final String prefix, final String deprecatedPrefix, final Map<String, Long> counters) {
        counters.forEach((name, value) -> put(prefix + name, deprecatedPrefix + name, value));
    }

    /** All lines. */
    public String text() {
        return values.entrySet().stream()
                .map(metric -> PREFIX + metric.getKey() + " " + metric.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
