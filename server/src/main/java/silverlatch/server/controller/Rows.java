package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import silverlatch.json.JsonDocument;
import silverlatch.state.Entry;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** Rows, tenants and drains as JSON, both ways. */
public final class Rows {
    private Rows() {}

    /** A row as JSON. */
    public static Map<String, Object> write(final Value.Row r) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("tenant", r.tenant());
        map.put("kind", r.kind());
        map.put("prefix", r.prefix());
        map.put("load", r.load());
        map.put("cold", r.cold());
        map.put("cross", r.cross());
        map.put("rate", r.rate());
        map.put("burst", r.burst());
        map.put("running", r.running());
        map.put("queue", r.queue());
        map.put("hold", r.hold());
        map.put("once", r.once());
        map.put("rank", r.rank());
        return map;
    }

    /** A row from JSON; what is not said is as in the plain row. */
    public static Value.Row read(final JsonDocument s) {
        final Value.Row p = TableRules.plain(s.text("tenant", 64), s.text("kind", 64));
        return new Value.Row(
                p.tenant(),
                p.kind(),
                s.number("prefix", p.prefix()),
                s.number("load", p.load()),
                s.number("cold", p.cold()),
                s.number("cross", p.cross()),
                s.number("rate", p.rate()),
                s.number("burst", p.burst()),
                (int) s.whole("running", 0, Integer.MAX_VALUE, p.running()),
                (int) s.whole("queue", 0, Integer.MAX_VALUE, p.queue()),
                s.whole("hold", 0, Long.MAX_VALUE, p.hold()),
                s.flag("once", p.once()),
                (int) s.whole("rank", 0, Integer.MAX_VALUE, p.rank()));
    }

    /** Entries as a list of JSON objects, gone ones left out, and the newest sequence among all. */
    public static Map<String, Object> page(final String name, final List<Entry> entries) {
        final List<Map<String, Object>> list = new ArrayList<>();
        entries.stream()
                .filter(e -> !e.gone())
                .sorted(Comparator.comparing(Entry::key))
                .forEach(e -> list.add(one(e)));
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("sequence", entries.stream().mapToLong(Entry::sequence).max().orElse(0));
        map.put(name, list);
        return map;
    }

    private static String since(final long stamp) {
        return java.time.Instant.ofEpochSecond(silverlatch.clock.Ntp.EPOCH + (stamp >> 32))
                .toString();
    }

    private static Map<String, Object> one(final Entry e) {
        return switch (e.leaf().get(0)) {
            case Value.Row r -> write(r);
            case Value.Tenant t ->
                Map.of("name", t.name(), "homes", t.homes(), "share", t.share(), "sequence", e.sequence());
            case Value.Evacuation d ->
                Map.of("zone", d.zone(), "empty", d.on(), "stamp", "" + d.at().bits(), "sequence", e.sequence());
            case Value.Schedule k ->
                Map.of(
                        "name",
                        k.name(),
                        "cron",
                        k.cron(),
                        "cells",
                        k.cells().stream()
                                .map(c -> c.tenant() + " " + c.kind() + " " + c.field() + " = " + c.value())
                                .toList(),
                        "zone",
                        k.zone(),
                        "empty",
                        k.empty(),
                        "sequence",
                        e.sequence());
            case Value.Claim c ->
                Map.of("ticket", c.ticket(), "carrier", c.carrier(), "state", c.state(), "since", since(c.at()));
            case Value.Epoch g -> Map.of("turn", g.turn());
            case Value.Route r -> ConfigurationJson.write(r);
            case Value.BackendPool p -> ConfigurationJson.write(p);
            case Value.RoutingConfiguration c -> Map.of("number", c.number(), "sequence", e.sequence());
            case Value.ConfigurationDocument p -> Map.of("number", p.number(), "paper", p.text());
            case Value.AcceptedConfiguration a ->
                Map.of("number", a.number(), "match", a.match(), "sequence", e.sequence());
            case Value.CommandOutcome d ->
                Map.of(
                        "change",
                        e.key().substring(2),
                        "sequence",
                        d.sequence(),
                        "code",
                        d.code(),
                        "faults",
                        d.faults());
        };
    }
}
