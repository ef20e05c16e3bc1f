package silverlatch.server.controller;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;

/** Charters, their rules and their pools as JSON, both ways. */
public final class ConfigurationJson {
    private static final long LONG = Long.MAX_VALUE;
    private static final int INT = Integer.MAX_VALUE;

    private ConfigurationJson() {}

    /** Reads a charter; what is wrong with it is noted in the sheet. */
    public static Command.PutConfiguration read(
            final JsonDocument document, final String text, final String id, final long expectedRevision) {
        final long number = document.integer("number", 1, LONG);
        final List<Value.Route> routes = document.objects("rules", ConfigurationValidator.MAX_ROUTES + 1).stream()
                .map(ConfigurationJson::readRoute)
                .toList();
        final List<Value.BackendPool> pools = document.objects("pools", ConfigurationValidator.MAX_POOLS + 1).stream()
                .map(ConfigurationJson::readPool)
                .toList();
        final JsonDocument bounds = document.object("bounds");
        final Value.RoutingConfiguration configuration = new Value.RoutingConfiguration(
                number,
                (int) bounds.integer("head", 0, INT),
                (int) bounds.integer("body", 0, INT),
                bounds.integer("slow", 0, LONG),
                bounds.integer("idle", 0, LONG));
        bounds.finish();
        return new Command.PutConfiguration(id, configuration, routes, pools, text, expectedRevision);
    }

    /** A body as text, if it can be given back to the byte. */
    public static Optional<String> decodeText(final byte[] body) {
        final String text = new String(body, StandardCharsets.UTF_8);
        return java.util.Arrays.equals(text.getBytes(StandardCharsets.UTF_8), body)
                ? Optional.of(text)
                : Optional.empty();
    }

    /** A rule as JSON. */
    public static Map<String, Object> write(final Value.Route route) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", route.name());
        map.put("host", route.host());
        map.put("path", route.pathPrefix());
        map.put("once", route.atMostOnce());
        map.put("stream", route.streaming());
        map.put("resume", route.resumable());
        map.put("kept", route.prefixCached());
        map.put("hold", route.timeoutMicros());
        map.put("aim", route.latencyTargetMicros());
        map.put("gap", route.maxEventGapMicros());
        map.put("rank", route.priority());
        map.put("tries", route.maxAttempts());
        map.put("homes", route.homeRegions());
        map.put(
                "lots",
                route.backends().stream()
                        .map(l -> Map.of("pool", l.pool(), "weight", l.weight()))
                        .toList());
        return map;
    }

    /** A pool as JSON. */
    public static Map<String, Object> write(final Value.BackendPool pool) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", pool.name());
        map.put("health", pool.healthPath());
        map.put("lines", pool.maxConnections());
        map.put("cold", pool.warmupMicros());
        map.put("rate", pool.warmupRequestsPerSecond());
        map.put("slots", pool.slots());
        map.put("memory", pool.cacheTokens());
        map.put("stride", pool.tokensPerEvent());
        return map;
    }

    private static Value.Route readRoute(final JsonDocument document) {
        final Value.Route route = new Value.Route(
                document.string("name", 256),
                document.string("host", 256),
                document.string("path", 1_024),
                document.flag("once", false),
                document.flag("stream", false),
                document.flag("resume", false),
                document.flag("kept", false),
                document.integer("hold", 0, LONG),
                document.integer("aim", 0, LONG, 0),
                document.integer("gap", 0, LONG, 0),
                (int) document.integer("rank", 0, INT, 0),
                (int) document.integer("tries", 0, INT, 1),
                document.strings("homes", 64, 64),
                document.objects("lots", 1_000).stream()
                        .map(ConfigurationJson::readWeightedBackend)
                        .toList());
        document.finish();
        return route;
    }

    private static Value.WeightedBackend readWeightedBackend(final JsonDocument document) {
        final Value.WeightedBackend backend =
                new Value.WeightedBackend(document.string("pool", 256), (int) document.integer("weight", 0, INT));
        document.finish();
        return backend;
    }

    private static Value.BackendPool readPool(final JsonDocument document) {
        final Value.BackendPool pool = new Value.BackendPool(
                document.string("name", 256),
                document.string("health", 1_024, ""),
                (int) document.integer("lines", 0, INT, 0),
                document.integer("cold", 0, LONG, 0),
                document.number("rate", 0),
                (int) document.integer("slots", 0, INT),
                (int) document.integer("memory", 0, INT, 0),
                (int) document.integer("stride", 0, INT, 0));
        document.finish();
        return pool;
    }
}
