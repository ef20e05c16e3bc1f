package silverlatch.server.controller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;

/** Reads routing configurations from JSON, and writes routes and backend pools as JSON. Times are in microseconds. */
public final class ConfigurationJson {
    private static final long MAX_LONG = Long.MAX_VALUE;
    private static final int MAX_INT = Integer.MAX_VALUE;
    private static final int MAX_NAME_LENGTH = 256;
    private static final int MAX_PATH_LENGTH = 1_024;
    private static final int MAX_DIGEST_LENGTH = 64;
    private static final int MAX_REGIONS = 64;
    private static final int MAX_REGION_LENGTH = 64;
    private static final int MAX_BACKENDS = 1_000;

    private ConfigurationJson() {}

    /**
     * Reads a configuration; faults are recorded in the document.
     *
     * @param text             the document as received, which is stored together with the parsed configuration
     * @param expectedRevision the number of the configuration that this one builds on; negative for any
     */
    public static Command.PutFullConfiguration read(
            final JsonDocument document, final String text, final String id, final long expectedRevision) {
        final long number = document.integer("number", 1, MAX_LONG);
        final List<Value.PublicRoute> publicRoutes = new ArrayList<>();
        final List<Value.Route> routes = document.objects("rules", ConfigurationValidator.MAX_ROUTES + 1).stream()
                .map(route -> readRoute(route, publicRoutes))
                .toList();
        final List<Value.BackendPool> pools = document.objects("pools", ConfigurationValidator.MAX_POOLS + 1).stream()
                .map(ConfigurationJson::readPool)
                .toList();
        final JsonDocument bounds = document.object("bounds");
        final Value.RoutingConfiguration configuration = new Value.RoutingConfiguration(
                number,
                (int) bounds.integer("head", 0, MAX_INT),
                (int) bounds.integer("body", 0, MAX_INT),
                bounds.integer("slow", 0, MAX_LONG),
                bounds.integer("idle", 0, MAX_LONG));
        bounds.finish();
        return new Command.PutFullConfiguration(
                new Command.PutConfiguration(id, configuration, routes, pools, text, expectedRevision),
                document.has("tenants"),
                document.objects("tenants", ConfigurationValidator.MAX_TENANTS + 1).stream()
                        .map(ConfigurationJson::readTenant)
                        .toList(),
                publicRoutes,
                document.objects("scalings", ConfigurationValidator.MAX_POOLS + 1).stream()
                        .map(ConfigurationJson::readScaling)
                        .toList());
    }

    /** Returns a body as text; empty if it is not valid UTF-8, as it could then not be returned byte for byte later. */
    public static Optional<String> decodeText(final byte[] body) {
        final String text = new String(body, StandardCharsets.UTF_8);
        return Arrays.equals(text.getBytes(StandardCharsets.UTF_8), body) ? Optional.of(text) : Optional.empty();
    }

    /** Returns a route as JSON. */
    public static Map<String, Object> write(final Value.Route route) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", route.name());
        fields.put("host", route.host());
        fields.put("path", route.pathPrefix());
        fields.put("once", route.atMostOnce());
        fields.put("stream", route.streaming());
        fields.put("resume", route.resumable());
        fields.put("kept", route.prefixCached());
        fields.put("hold", route.timeoutMicros());
        fields.put("aim", route.latencyTargetMicros());
        fields.put("gap", route.maxEventGapMicros());
        fields.put("rank", route.priority());
        fields.put("tries", route.maxAttempts());
        fields.put("homes", route.homeRegions());
        fields.put(
                "lots",
                route.backends().stream()
                        .map(backend -> Map.of("pool", backend.pool(), "weight", backend.weight()))
                        .toList());
        return fields;
    }

    /** Returns a backend pool as JSON. */
    public static Map<String, Object> write(final Value.BackendPool pool) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", pool.name());
        fields.put("health", pool.healthPath());
        fields.put("lines", pool.maxConnections());
        fields.put("cold", pool.warmupMicros());
        fields.put("rate", pool.warmupRequestsPerSecond());
        fields.put("slots", pool.slots());
        fields.put("memory", pool.cacheTokens());
        fields.put("stride", pool.tokensPerEvent());
        return fields;
    }

    private static Value.Route readRoute(final JsonDocument document, final List<Value.PublicRoute> publicRoutes) {
        final Value.Route route = new Value.Route(
                document.string("name", MAX_NAME_LENGTH),
                document.string("host", MAX_NAME_LENGTH),
                document.string("path", MAX_PATH_LENGTH),
                document.flag("once", false),
                document.flag("stream", false),
                document.flag("resume", false),
                document.flag("kept", false),
                document.integer("hold", 0, MAX_LONG),
                document.integer("aim", 0, MAX_LONG, 0),
                document.integer("gap", 0, MAX_LONG, 0),
                (int) document.integer("rank", 0, MAX_INT, 0),
                (int) document.integer("tries", 0, MAX_INT, 1),
                document.strings("homes", MAX_REGIONS, MAX_REGION_LENGTH),
                document.objects("lots", MAX_BACKENDS).stream()
                        .map(ConfigurationJson::readWeightedBackend)
                        .toList());
        if (document.flag("open", false)) {
            publicRoutes.add(new Value.PublicRoute(route.host(), route.pathPrefix()));
        }
        document.finish();
        return route;
    }

    private static Value.WeightedBackend readWeightedBackend(final JsonDocument document) {
        final Value.WeightedBackend backend = new Value.WeightedBackend(
                document.string("pool", MAX_NAME_LENGTH), (int) document.integer("weight", 0, MAX_INT));
        document.finish();
        return backend;
    }

    private static Value.BackendPool readPool(final JsonDocument document) {
        final Value.BackendPool pool = new Value.BackendPool(
                document.string("name", MAX_NAME_LENGTH),
                document.string("health", MAX_PATH_LENGTH, ""),
                (int) document.integer("lines", 0, MAX_INT, 0),
                document.integer("cold", 0, MAX_LONG, 0),
                document.number("rate", 0),
                (int) document.integer("slots", 0, MAX_INT),
                (int) document.integer("memory", 0, MAX_INT, 0),
                (int) document.integer("stride", 0, MAX_INT, 0));
        document.finish();
        return pool;
    }

    private static Value.TenantAccess readTenant(final JsonDocument document) {
        document.require("keys");
        final Value.TenantAccess tenant = new Value.TenantAccess(
                document.string("name", MAX_NAME_LENGTH),
                document.strings("keys", ConfigurationValidator.MAX_KEYS + 1, MAX_DIGEST_LENGTH),
                (int) document.integer("rank", 0, MAX_INT, Value.TenantAccess.ROUTE_PRIORITY),
                document.strings("homes", MAX_REGIONS, MAX_REGION_LENGTH));
        document.finish();
        return tenant;
    }

    private static Value.PoolScaling readScaling(final JsonDocument document) {
        final Value.PoolScaling scaling = new Value.PoolScaling(
                document.string("pool", MAX_NAME_LENGTH),
                (int) document.integer("min", 0, MAX_INT),
                (int) document.integer("max", 0, MAX_INT),
                document.integer("boot", 0, MAX_LONG, 0));
        document.finish();
        return scaling;
    }
}
