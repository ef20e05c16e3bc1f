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
        final long number = s.whole("number", 1, LONG);
        final List<Value.Route> rules = s.sheets("rules", ConfigurationValidator.MOST + 1).stream()
                .map(ConfigurationJson::rule)
                .toList();
        final List<Value.BackendPool> pools = s.sheets("pools", ConfigurationValidator.MOST_POOLS + 1).stream()
                .map(ConfigurationJson::pool)
                .toList();
        final JsonDocument b = s.sheet("bounds");
        final Value.RoutingConfiguration charter = new Value.RoutingConfiguration(
                number,
                (int) b.whole("head", 0, INT),
                (int) b.whole("body", 0, INT),
                b.whole("slow", 0, LONG),
                b.whole("idle", 0, LONG));
        b.end();
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
        map.put("path", r.path());
        map.put("once", r.once());
        map.put("stream", r.stream());
        map.put("resume", r.resume());
        map.put("kept", r.kept());
        map.put("hold", r.hold());
        map.put("aim", r.aim());
        map.put("gap", r.gap());
        map.put("rank", r.rank());
        map.put("tries", r.tries());
        map.put("homes", r.homes());
        map.put(
                "lots",
                r.lots().stream()
                        .map(l -> Map.of("pool", l.pool(), "weight", l.weight()))
                        .toList());
        return map;
    }

    /** A pool as JSON. */
    public static Map<String, Object> write(final Value.BackendPool p) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", p.name());
        map.put("health", p.health());
        map.put("lines", p.lines());
        map.put("cold", p.cold());
        map.put("rate", p.rate());
        map.put("slots", p.slots());
        map.put("memory", p.memory());
        map.put("stride", p.stride());
        return map;
    }

    private static Value.Route rule(final JsonDocument s) {
        final Value.Route r = new Value.Route(
                s.text("name", 256),
                s.text("host", 256),
                s.text("path", 1_024),
                s.flag("once", false),
                s.flag("stream", false),
                s.flag("resume", false),
                s.flag("kept", false),
                s.whole("hold", 0, LONG),
                s.whole("aim", 0, LONG, 0),
                s.whole("gap", 0, LONG, 0),
                (int) s.whole("rank", 0, INT, 0),
                (int) s.whole("tries", 0, INT, 1),
                s.texts("homes", 64, 64),
                s.sheets("lots", 1_000).stream().map(ConfigurationJson::lot).toList());
        s.end();
        return r;
    }

    private static Value.WeightedBackend lot(final JsonDocument s) {
        final Value.WeightedBackend l = new Value.WeightedBackend(s.text("pool", 256), (int) s.whole("weight", 0, INT));
        s.end();
        return l;
    }

    private static Value.BackendPool pool(final JsonDocument s) {
        final Value.BackendPool p = new Value.BackendPool(
                s.text("name", 256),
                s.text("health", 1_024, ""),
                (int) s.whole("lines", 0, INT, 0),
                s.whole("cold", 0, LONG, 0),
                s.number("rate", 0),
                (int) s.whole("slots", 0, INT),
                (int) s.whole("memory", 0, INT, 0),
                (int) s.whole("stride", 0, INT, 0));
        s.end();
        return p;
    }
}
