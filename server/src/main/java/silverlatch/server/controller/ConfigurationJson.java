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
            final JsonDocument s, final String paper, final String id, final long match) {
        final long number = s.integer("number", 1, LONG);
        final List<Value.Route> rules = s.objects("rules", ConfigurationValidator.MAX_ROUTES + 1).stream()
                .map(ConfigurationJson::rule)
                .toList();
        final List<Value.BackendPool> pools = s.objects("pools", ConfigurationValidator.MAX_POOLS + 1).stream()
                .map(ConfigurationJson::pool)
                .toList();
        final JsonDocument b = s.object("bounds");
        final Value.RoutingConfiguration charter = new Value.RoutingConfiguration(
                number,
                (int) b.integer("head", 0, INT),
                (int) b.integer("body", 0, INT),
                b.integer("slow", 0, LONG),
                b.integer("idle", 0, LONG));
        b.finish();
        return new Command.PutConfiguration(id, charter, rules, pools, paper, match);
    }

    /** A body as text, if it can be given back to the byte. */
    public static Optional<String> paper(final byte[] body) {
        final String text = new String(body, StandardCharsets.UTF_8);
        return java.util.Arrays.equals(text.getBytes(StandardCharsets.UTF_8), body)
                ? Optional.of(text)
                : Optional.empty();
    }

    /** A rule as JSON. */
    public static Map<String, Object> write(final Value.Route r) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", r.name());
        map.put("host", r.host());
        map.put("path", r.pathPrefix());
        map.put("once", r.atMostOnce());
        map.put("stream", r.streaming());
        map.put("resume", r.resumable());
        map.put("kept", r.prefixCached());
        map.put("hold", r.timeoutMicros());
        map.put("aim", r.latencyTargetMicros());
        map.put("gap", r.maxEventGapMicros());
        map.put("rank", r.priority());
        map.put("tries", r.maxAttempts());
        map.put("homes", r.homeRegions());
        map.put(
                "lots",
                r.backends().stream()
                        .map(l -> Map.of("pool", l.pool(), "weight", l.weight()))
                        .toList());
        return map;
    }

    /** A pool as JSON. */
    public static Map<String, Object> write(final Value.BackendPool p) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", p.name());
        map.put("health", p.healthPath());
        map.put("lines", p.maxConnections());
        map.put("cold", p.warmupMicros());
        map.put("rate", p.warmupRequestsPerSecond());
        map.put("slots", p.slots());
        map.put("memory", p.cacheTokens());
        map.put("stride", p.tokensPerEvent());
        return map;
    }

    private static Value.Route rule(final JsonDocument s) {
        final Value.Route r = new Value.Route(
                s.string("name", 256),
                s.string("host", 256),
                s.string("path", 1_024),
                s.flag("once", false),
                s.flag("stream", false),
                s.flag("resume", false),
                s.flag("kept", false),
                s.integer("hold", 0, LONG),
                s.integer("aim", 0, LONG, 0),
                s.integer("gap", 0, LONG, 0),
                (int) s.integer("rank", 0, INT, 0),
                (int) s.integer("tries", 0, INT, 1),
                s.strings("homes", 64, 64),
                s.objects("lots", 1_000).stream().map(ConfigurationJson::lot).toList());
        s.finish();
        return r;
    }

    private static Value.WeightedBackend lot(final JsonDocument s) {
        final Value.WeightedBackend l =
                new Value.WeightedBackend(s.string("pool", 256), (int) s.integer("weight", 0, INT));
        s.finish();
        return l;
    }

    private static Value.BackendPool pool(final JsonDocument s) {
        final Value.BackendPool p = new Value.BackendPool(
                s.string("name", 256),
                s.string("health", 1_024, ""),
                (int) s.integer("lines", 0, INT, 0),
                s.integer("cold", 0, LONG, 0),
                s.number("rate", 0),
                (int) s.integer("slots", 0, INT),
                (int) s.integer("memory", 0, INT, 0),
                (int) s.integer("stride", 0, INT, 0));
        s.finish();
        return p;
    }
}
