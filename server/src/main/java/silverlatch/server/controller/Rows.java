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
        map.put("prefix", r.prefixWeight());
        map.put("load", r.loadWeight());
        map.put("cold", r.warmupWeight());
        map.put("cross", r.localityWeight());
        map.put("rate", r.requestsPerSecond());
        map.put("burst", r.burstRequests());
        map.put("running", r.maxRunning());
        map.put("queue", r.maxQueued());
        map.put("hold", r.timeoutMicros());
        map.put("once", r.atMostOnce());
        map.put("rank", r.priority());
        return map;
    }

    /** A row from JSON; what is not said is as in the plain row. */
    public static Value.Row read(final JsonDocument s) {
        final Value.Row p = TableRules.defaultRow(s.string("tenant", 64), s.string("kind", 64));
        return new Value.Row(
                p.tenant(),
                p.kind(),
                s.number("prefix", p.prefixWeight()),
                s.number("load", p.loadWeight()),
                s.number("cold", p.warmupWeight()),
                s.number("cross", p.localityWeight()),
                s.number("rate", p.requestsPerSecond()),
                s.number("burst", p.burstRequests()),
                (int) s.integer("running", 0, Integer.MAX_VALUE, p.maxRunning()),
                (int) s.integer("queue", 0, Integer.MAX_VALUE, p.maxQueued()),
                s.integer("hold", 0, Long.MAX_VALUE, p.timeoutMicros()),
                s.flag("once", p.atMostOnce()),
                (int) s.integer("rank", 0, Integer.MAX_VALUE, p.priority()));
    }

    /** Entries as a list of JSON objects, gone ones left out, and the newest sequence among all. */
    public static Map<String, Object> page(final String name, final List<Entry> entries) {
        final List<Map<String, Object>> list = new ArrayList<>();
        entries.stream()
                .filter(e -> !e.isDeleted())
                .sorted(Comparator.comparing(Entry::key))
                .forEach(e -> list.add(one(e)));
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("sequence", entries.stream().mapToLong(Entry::sequence).max().orElse(0));
        map.put(name, list);
        return map;
    }

    private static String since(final long stamp) {
        return java.time.Instant.ofEpochSecond(silverlatch.clock.NtpTime.EPOCH_UNIX_SECONDS + (stamp >> 32))
                .toString();
    }

    private static Map<String, Object> one(final Entry e) {
        return switch (e.value().get(0)) {
            case Value.Row r -> write(r);
            case Value.Tenant t ->
                Map.of("name", t.name(), "homes", t.homeRegions(), "share", t.quotaShare(), "sequence", e.sequence());
            case Value.Evacuation d ->
                Map.of(
                        "zone",
                        d.zone(),
                        "empty",
                        d.active(),
                        "stamp",
                        "" + d.stamp().bits(),
                        "sequence",
                        e.sequence());
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
                        k.evacuate(),
                        "sequence",
                        e.sequence());
            case Value.Claim c ->
                Map.of(
                        "ticket",
                        c.requestId(),
                        "carrier",
                        c.gatewayId(),
                        "state",
                        c.state(),
                        "since",
                        since(c.claimedAt()));
            case Value.Epoch g -> Map.of("turn", g.number());
            case Value.Route r -> ConfigurationJson.write(r);
            case Value.BackendPool p -> ConfigurationJson.write(p);
            case Value.RoutingConfiguration c -> Map.of("number", c.number(), "sequence", e.sequence());
            case Value.ConfigurationDocument p -> Map.of("number", p.number(), "paper", p.text());
            case Value.AcceptedConfiguration a ->
                Map.of("number", a.number(), "match", a.expectedRevision(), "sequence", e.sequence());
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
