package silverlatch.state;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates routing configurations and defines the keys of their entries. Each fault begins with the path of the
 * invalid field in the operator's document, whose field names differ from those of the types here (docs/api.md).
 */
public final class ConfigurationValidator {
    /** Key of the configuration in force, without its routes and pools. */
    public static final String CONFIGURATION_KEY = "p/charter";
    /** Key of the document as the operator wrote it. Gateways don't receive this entry. */
    public static final String DOCUMENT_KEY = "q/paper";
    /** Prefix of the keys of routes. */
    public static final String ROUTE_PREFIX = "u/";
    /** Prefix of the keys of backend pools. */
    public static final String POOL_PREFIX = "b/";
    /** Maximum number of routes of a configuration. */
    public static final int MAX_ROUTES = 20_000;
    /** Maximum number of backend pools of a configuration. */
    public static final int MAX_POOLS = 5_000;
    /** Maximum number of tenants of a configuration. */
    public static final int MAX_TENANTS = 50_000;
    /** Maximum number of keys of all tenants of a configuration together. */
    public static final int MAX_KEYS = 100_000;
    /** Maximum size of a configuration's document, in bytes of UTF-8. */
    public static final int MAX_DOCUMENT_BYTES = 4 << 20;

    private static final int MAX_BACKENDS = 1_000;
    private static final int MAX_REPORTED_FAULTS = 20;
    private static final int MAX_NAME_LENGTH = 256;
    private static final int MAX_PATH_LENGTH = 1_024;

    private ConfigurationValidator() {}

    /** Returns the key of a route's entry. */
    public static String routeKey(final String host, final String path) {
        return ROUTE_PREFIX + host + "|" + path;
    }

    /** Returns a key that is equal for two routes if they match the same requests. */
    private static String comparableKey(final String host, final String path) {
        return routeKey(RouteHosts.normalized(host), path);
    }

    /** Returns the key of a backend pool's entry. */
    public static String poolKey(final String name) {
        return POOL_PREFIX + name;
    }

    /** Returns whether a document exceeds {@link #MAX_DOCUMENT_BYTES}. */
    public static boolean isTooLong(final String document) {
        return document.length() > MAX_DOCUMENT_BYTES
                || document.getBytes(StandardCharsets.UTF_8).length > MAX_DOCUMENT_BYTES;
    }

    /**
     * Returns the faults of a configuration that is to replace the one with the current number, up to a maximum. If the
     * number or one of the sizes is invalid, nothing else is checked.
     */
    static List<String> faults(final Command.PutFullConfiguration full, final long currentNumber) {
        final Command.PutConfiguration command = full.base();
        final ValidationFaults faults = new ValidationFaults(MAX_REPORTED_FAULTS);
        checkNumberAndSizes(full, currentNumber, faults);
        if (faults.isEmpty()) {
            checkLimits(command.configuration(), faults);
            final Set<String> poolNames = new HashSet<>();
            for (int i = 0; i < command.pools().size() && !faults.isFull(); i++) {
                checkPool("$.pools[" + i + "]", command.pools().get(i), poolNames, faults);
            }
            final Set<String> routeKeys = new HashSet<>();
            for (int i = 0; i < command.routes().size() && !faults.isFull(); i++) {
                checkRoute("$.rules[" + i + "]", command.routes().get(i), poolNames, routeKeys, faults);
            }
            checkPublicRoutes(full.publicRoutes(), routeKeys, faults);
            checkScalings(full.scalings(), poolNames, faults);
            TenantAccessValidator.check(full.tenants(), faults);
        }
        return faults.reported();
    }

    private static void checkNumberAndSizes(
            final Command.PutFullConfiguration full, final long currentNumber, final ValidationFaults faults) {
        final Command.PutConfiguration command = full.base();
        final long number = command.configuration().number();
        if (number <= currentNumber) {
            faults.add("$.number", number + " is not higher than " + currentNumber + ", which is in force");
        }
        checkCount("$.rules", command.routes().size(), MAX_ROUTES, faults);
        checkCount("$.rules", full.publicRoutes().size(), MAX_ROUTES, faults);
        checkCount("$.pools", command.pools().size(), MAX_POOLS, faults);
        checkCount("$.scalings", full.scalings().size(), MAX_POOLS, faults);
        checkCount("$.tenants", full.tenants().size(), MAX_TENANTS, faults);
        final int keys = full.tenants().stream()
                .mapToInt(tenant -> tenant.keyDigests().size())
                .sum();
        if (keys > MAX_KEYS) {
            faults.add("$.tenants", "at most " + MAX_KEYS + " keys, not " + keys);
        }
        if (isTooLong(command.document())) {
            faults.add("$", "longer than " + MAX_DOCUMENT_BYTES + " bytes");
        }
    }

    private static void checkCount(
            final String path, final int count, final int maximum, final ValidationFaults faults) {
        if (count > maximum) {
            faults.add(path, "at most " + maximum + ", not " + count);
        }
    }

    private static void checkLimits(final Value.RoutingConfiguration configuration, final ValidationFaults faults) {
        faults.checkAtLeast("$.bounds.head", configuration.maxHeaderBytes(), 0);
        faults.checkAtLeast("$.bounds.body", configuration.maxBodyBytes(), 0);
        faults.checkAtLeast("$.bounds.slow", configuration.requestTimeoutMicros(), 0);
        faults.checkAtLeast("$.bounds.idle", configuration.idleTimeoutMicros(), 0);
    }

    private static void checkPool(
            final String path, final Value.BackendPool pool, final Set<String> names, final ValidationFaults faults) {
        faults.checkLength(path + ".name", pool.name(), MAX_NAME_LENGTH);
        if (!names.add(pool.name())) {
            faults.add(path + ".name", "a second pool " + ValidationFaults.abbreviated(pool.name()));
        }
        faults.checkAtLeast(path + ".lines", pool.maxConnections(), 0);
        faults.checkAtLeast(path + ".cold", pool.warmupMicros(), 0);
        faults.checkAtLeast(path + ".rate", pool.warmupRequestsPerSecond(), 0);
        faults.checkAtLeast(path + ".slots", pool.slots(), 0);
        faults.checkAtLeast(path + ".memory", pool.cacheTokens(), 0);
        faults.checkAtLeast(path + ".stride", pool.tokensPerEvent(), 0);
    }

    private static void checkPublicRoutes(
            final List<Value.PublicRoute> publicRoutes, final Set<String> routeKeys, final ValidationFaults faults) {
        for (int i = 0; i < publicRoutes.size() && !faults.isFull(); i++) {
            final Value.PublicRoute route = publicRoutes.get(i);
            if (!routeKeys.contains(comparableKey(route.host(), route.pathPrefix()))) {
                faults.add(
                        "$.rules",
                        "there is no rule for " + ValidationFaults.abbreviated(route.host()) + " and "
                                + ValidationFaults.abbreviated(route.pathPrefix()) + " that could be open");
            }
        }
    }

    private static void checkScalings(
            final List<Value.PoolScaling> scalings, final Set<String> poolNames, final ValidationFaults faults) {
        final Set<String> scaledPools = new HashSet<>();
        for (int i = 0; i < scalings.size() && !faults.isFull(); i++) {
            final String path = "$.scalings[" + i + "]";
            final Value.PoolScaling scaling = scalings.get(i);
            if (!poolNames.contains(scaling.pool())) {
                faults.add(path + ".pool", "there is no pool " + ValidationFaults.abbreviated(scaling.pool()));
            } else if (!scaledPools.add(scaling.pool())) {
                faults.add(path + ".pool", "a second time for " + ValidationFaults.abbreviated(scaling.pool()));
            }
            faults.checkAtLeast(path + ".min", scaling.minWorkers(), 0);
            faults.checkAtLeast(path + ".max", scaling.maxWorkers(), Math.max(0, scaling.minWorkers()));
            faults.checkAtLeast(path + ".boot", scaling.bootMicros(), 0);
        }
    }

    private static void checkRoute(
            final String path,
            final Value.Route route,
            final Set<String> poolNames,
            final Set<String> routeKeys,
            final ValidationFaults faults) {
        faults.checkLength(path + ".name", route.name(), MAX_NAME_LENGTH);
        checkHostAndPath(path, route, faults);
        if (!routeKeys.add(comparableKey(route.host(), route.pathPrefix()))) {
            faults.add(
                    path,
                    "a second rule for " + ValidationFaults.abbreviated(route.host()) + " and "
                            + ValidationFaults.abbreviated(route.pathPrefix()));
        }
        faults.checkAtLeast(path + ".hold", route.timeoutMicros(), 1);
        faults.checkAtLeast(path + ".aim", route.latencyTargetMicros(), 0);
        faults.checkAtLeast(path + ".gap", route.maxEventGapMicros(), 0);
        faults.checkAtLeast(path + ".rank", route.priority(), 0);
        faults.checkAtLeast(path + ".tries", route.maxAttempts(), 1);
        for (int i = 0; i < route.homeRegions().size() && !faults.isFull(); i++) {
            faults.checkLength(path + ".homes[" + i + "]", route.homeRegions().get(i), MAX_NAME_LENGTH);
        }
        checkBackends(path + ".lots", route.backends(), poolNames, faults);
    }

    private static void checkHostAndPath(final String path, final Value.Route route, final ValidationFaults faults) {
        faults.checkLength(path + ".host", route.host(), MAX_NAME_LENGTH);
        if (route.host().indexOf('/') >= 0 || route.host().indexOf('|') >= 0) {
            faults.add(path + ".host", "no '/' and no '|' may be in it");
        }
        faults.checkLength(path + ".path", route.pathPrefix(), MAX_PATH_LENGTH);
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            faults.add(
                    path + ".path",
                    "it must begin and end with '/', not '" + ValidationFaults.abbreviated(route.pathPrefix()) + "'");
        }
    }

    private static void checkBackends(
            final String path,
            final List<Value.WeightedBackend> backends,
            final Set<String> poolNames,
            final ValidationFaults faults) {
        if (backends.isEmpty() || backends.size() > MAX_BACKENDS) {
            faults.add(path, "1 to " + MAX_BACKENDS + " are needed, not " + backends.size());
            return;
        }
        for (int i = 0; i < backends.size() && !faults.isFull(); i++) {
            final Value.WeightedBackend backend = backends.get(i);
            if (!poolNames.contains(backend.pool())) {
                faults.add(
                        path + "[" + i + "].pool", "there is no pool " + ValidationFaults.abbreviated(backend.pool()));
            }
            faults.checkAtLeast(path + "[" + i + "].weight", backend.weight(), 0);
        }
        if (backends.stream().mapToLong(Value.WeightedBackend::weight).sum() <= 0) {
            faults.add(path, "the weights add up to nothing");
        }
    }
}
