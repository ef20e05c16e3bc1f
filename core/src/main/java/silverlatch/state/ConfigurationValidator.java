package silverlatch.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Charters: what is wrong with one, each fault with its place, and what one changes. */
public final class ConfigurationValidator {
    /** The key of the charter in force. */
    public static final String CONFIGURATION_KEY = "p/charter";
    /** The key of the charter as the operator wrote it; it stays with the control plane. */
    public static final String DOCUMENT_KEY = "q/paper";
    /** How the keys of rules begin. */
    public static final String ROUTE_PREFIX = "u/";
    /** How the keys of pools begin. */
    public static final String POOL_PREFIX = "b/";
    /** How many rules a charter may have. */
    public static final int MAX_ROUTES = 20_000;
    /** How many pools a charter may have. */
    public static final int MAX_POOLS = 5_000;
    /** How many bytes a charter's paper may have. */
    public static final int MAX_DOCUMENT_BYTES = 4 << 20;

    private static final int MAX_BACKENDS = 1_000;
    private static final int MAX_REPORTED_FAULTS = 20;
    private static final int MAX_NAME_LENGTH = 256;
    private static final int MAX_PATH_LENGTH = 1_024;

    private ConfigurationValidator() {}

    /** The key of a rule. */
    public static String routeKey(final String host, final String path) {
        return ROUTE_PREFIX + host + "|" + path;
    }

    /** The key of a pool. */
    public static String poolKey(final String name) {
        return POOL_PREFIX + name;
    }

    /** What is wrong with a charter that comes after the number in force; at most a few faults are told. */
    static List<String> faults(final Command.PutConfiguration command, final long currentNumber) {
        final List<String> faults = new ArrayList<>();
        final Value.RoutingConfiguration configuration = command.configuration();
        if (configuration.number() <= currentNumber) {
            faults.add("$.number: " + configuration.number() + " is not higher than " + currentNumber
                    + ", which is in force");
        }
        if (command.routes().size() > MAX_ROUTES) {
            faults.add("$.rules: at most " + MAX_ROUTES + ", not "
                    + command.routes().size());
        }
        if (command.pools().size() > MAX_POOLS) {
            faults.add(
                    "$.pools: at most " + MAX_POOLS + ", not " + command.pools().size());
        }
        if (isTooLong(command.document())) {
            faults.add("$: longer than " + MAX_DOCUMENT_BYTES + " bytes");
        }
        if (!faults.isEmpty()) {
            return faults;
        }
        checkAtLeast(faults, "$.bounds.head", configuration.maxHeaderBytes(), 0);
        checkAtLeast(faults, "$.bounds.body", configuration.maxBodyBytes(), 0);
        checkAtLeast(faults, "$.bounds.slow", configuration.requestTimeoutMicros(), 0);
        checkAtLeast(faults, "$.bounds.idle", configuration.idleTimeoutMicros(), 0);
        final Set<String> pools = new HashSet<>();
        for (int i = 0; i < command.pools().size() && faults.size() < MAX_REPORTED_FAULTS; i++) {
            poolKey(faults, "$.pools[" + i + "]", command.pools().get(i), pools);
        }
        final Set<String> keys = new HashSet<>();
        for (int i = 0; i < command.routes().size() && faults.size() < MAX_REPORTED_FAULTS; i++) {
            routeKey(faults, "$.rules[" + i + "]", command.routes().get(i), pools, keys);
        }
        return List.copyOf(faults.subList(0, Math.min(MAX_REPORTED_FAULTS, faults.size())));
    }

    /** What a charter writes over the rules and pools that stand: only what differs, and always itself. */
    static List<Entry> writes(
            final Command.PutConfiguration command, final Map<String, Entry> current, final long sequence) {
        final Map<String, Value> updated = new HashMap<>();
        command.routes().forEach(r -> updated.put(routeKey(r.host(), r.pathPrefix()), r));
        command.pools().forEach(p -> updated.put(poolKey(p.name()), p));
        final List<Entry> writes = new ArrayList<>();
        current.keySet().stream()
                .filter(k -> !updated.containsKey(k))
                .sorted()
                .forEach(k -> writes.add(new Entry(k, sequence, List.of())));
        updated.entrySet().stream()
                .filter(e -> !current.containsKey(e.getKey())
                        || !current.get(e.getKey()).value().get(0).equals(e.getValue()))
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> writes.add(new Entry(e.getKey(), sequence, List.of(e.getValue()))));
        writes.add(new Entry(CONFIGURATION_KEY, sequence, List.of(command.configuration())));
        writes.add(new Entry(
                DOCUMENT_KEY,
                sequence,
                List.of(new Value.ConfigurationDocument(command.configuration().number(), command.document()))));
        return writes;
    }

    /** Whether a paper is longer than any that is taken. */
    public static boolean isTooLong(final String document) {
        return document.length() > MAX_DOCUMENT_BYTES
                || document.getBytes(StandardCharsets.UTF_8).length > MAX_DOCUMENT_BYTES;
    }

    private static void poolKey(
            final List<String> faults, final String path, final Value.BackendPool pool, final Set<String> pools) {
        checkName(faults, path + ".name", pool.name(), MAX_NAME_LENGTH);
        if (!pools.add(pool.name())) {
            faults.add(path + ".name: a second pool " + abbreviated(pool.name()));
        }
        checkAtLeast(faults, path + ".lines", pool.maxConnections(), 0);
        checkAtLeast(faults, path + ".cold", pool.warmupMicros(), 0);
        checkAtLeast(faults, path + ".rate", pool.warmupRequestsPerSecond(), 0);
        checkAtLeast(faults, path + ".slots", pool.slots(), 0);
        checkAtLeast(faults, path + ".memory", pool.cacheTokens(), 0);
        checkAtLeast(faults, path + ".stride", pool.tokensPerEvent(), 0);
    }

    private static void routeKey(
            final List<String> faults,
            final String path,
            final Value.Route route,
            final Set<String> pools,
            final Set<String> keys) {
        checkName(faults, path + ".name", route.name(), MAX_NAME_LENGTH);
        checkName(faults, path + ".host", route.host(), MAX_NAME_LENGTH);
        if (route.host().indexOf('/') >= 0 || route.host().indexOf('|') >= 0) {
            faults.add(path + ".host: no '/' and no '|' may be in it");
        }
        checkName(faults, path + ".path", route.pathPrefix(), MAX_PATH_LENGTH);
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            faults.add(path + ".path: it must begin and end with '/', not '" + abbreviated(route.pathPrefix()) + "'");
        }
        if (!keys.add(routeKey(route.host(), route.pathPrefix()))) {
            faults.add(path + ": a second rule for " + abbreviated(route.host()) + " and "
                    + abbreviated(route.pathPrefix()));
        }
        checkAtLeast(faults, path + ".hold", route.timeoutMicros(), 1);
        checkAtLeast(faults, path + ".aim", route.latencyTargetMicros(), 0);
        checkAtLeast(faults, path + ".gap", route.maxEventGapMicros(), 0);
        checkAtLeast(faults, path + ".rank", route.priority(), 0);
        checkAtLeast(faults, path + ".tries", route.maxAttempts(), 1);
        for (int i = 0; i < route.homeRegions().size() && faults.size() < MAX_REPORTED_FAULTS; i++) {
            checkName(faults, path + ".homes[" + i + "]", route.homeRegions().get(i), MAX_NAME_LENGTH);
        }
        checkBackends(faults, path + ".lots", route.backends(), pools);
    }

    private static void checkBackends(
            final List<String> faults,
            final String path,
            final List<Value.WeightedBackend> backends,
            final Set<String> pools) {
        if (backends.isEmpty() || backends.size() > MAX_BACKENDS) {
            faults.add(path + ": 1 to " + MAX_BACKENDS + " are needed, not " + backends.size());
            return;
        }
        for (int i = 0; i < backends.size() && faults.size() < MAX_REPORTED_FAULTS; i++) {
            if (!pools.contains(backends.get(i).pool())) {
                faults.add(path + "[" + i + "].pool: there is no pool "
                        + abbreviated(backends.get(i).pool()));
            }
            checkAtLeast(faults, path + "[" + i + "].weight", backends.get(i).weight(), 0);
        }
        if (backends.stream().mapToLong(Value.WeightedBackend::weight).sum() <= 0) {
            faults.add(path + ": the weights add up to nothing");
        }
    }

    private static void checkName(
            final List<String> faults, final String path, final String text, final int maxLength) {
        if (text.isEmpty() || text.length() > maxLength) {
            faults.add(path + ": 1 to " + maxLength + " characters are needed, not " + text.length());
        }
    }

    private static void checkAtLeast(
            final List<String> faults, final String path, final double value, final double minimum) {
        if (!(value >= minimum)) {
            faults.add(path + ": " + (value == Math.rint(value) ? "" + (long) value : "" + value) + " is less than "
                    + (long) minimum);
        }
    }

    private static String abbreviated(final String text) {
        return text.length() <= 64 ? text : text.substring(0, 64) + "...";
    }
}
