package silverlatch.server.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The metrics of a process as text: one line {@code silverlatch_NAME VALUE} for each metric, sorted by name. Not thread-safe.
 *
 * <p>A renamed metric also appears under its deprecated name for one version, so that dashboards can be migrated.
 */
public final class MetricsPage {
    private static final String PREFIX = "silverlatch_";
    private final Map<String, Long> values = new TreeMap<>();

    /** Adds a metric. The name is given without the prefix {@code silverlatch_}. */
    public void put(final String name, final long value) {
        values.put(name, value);
    }

    /** Adds a metric under its current name and under its name in the previous version. */
    public void put(final String name, final String deprecatedName, final long value) {
        put(name, value);
        put(deprecatedName, value);
    }

    /** Adds counters, each with its current prefix and with its prefix in the previous version. */
    public void putAll(final String prefix, final String deprecatedPrefix, final Map<String, Long> counters) {
        counters.forEach((name, value) -> put(prefix + name, deprecatedPrefix + name, value));
    }

    /** Returns all lines. */
    public String text() {
        return values.entrySet().stream()
                .map(metric -> PREFIX + metric.getKey() + " " + metric.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
