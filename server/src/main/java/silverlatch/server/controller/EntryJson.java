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
public final class EntryJson {
    private EntryJson() {}

    /** A row as JSON. */
    public static Map<String, Object> write(final Value.Row row) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("tenant", row.tenant());
        map.put("kind", row.kind());
        map.put("prefix", row.prefixWeight());
        map.put("load", row.loadWeight());
        map.put("cold", row.warmupWeight());
        map.put("cross", row.localityWeight());
        map.put("rate", row.requestsPerSecond());
        map.put("burst", row.burstRequests());
        map.put("running", row.maxRunning());
        map.put("queue", row.maxQueued());
        map.put("hold", row.timeoutMicros());
        map.put("once", row.atMostOnce());
        map.put("rank", row.priority());
        return map;
    }

    /** A row from JSON; what is not said is as in the plain row. */
    public static Value.Row read(final JsonDocument document) {
        final Value.Row defaults = TableRules.defaultRow(document.string("tenant", 64), document.string("kind", 64));
        return new Value.Row(
                defaults.tenant(),
                defaults.kind(),
                document.number("prefix", defaults.prefixWeight()),
                document.number("load", defaults.loadWeight()),
                document.number("cold", defaults.warmupWeight()),
                document.number("cross", defaults.localityWeight()),
                document.number("rate", defaults.requestsPerSecond()),
                document.number("burst", defaults.burstRequests()),
                (int) document.integer("running", 0, Integer.MAX_VALUE, defaults.maxRunning()),
                (int) document.integer("queue", 0, Integer.MAX_VALUE, defaults.maxQueued()),
                document.integer("hold", 0, Long.MAX_VALUE, defaults.timeoutMicros()),
                document.flag("once", defaults.atMostOnce()),
                (int) document.integer("rank", 0, Integer.MAX_VALUE, defaults.priority()));
    }

    /** Entries as a list of JSON objects, gone ones left out, and the newest sequence among all. */
    public static Map<String, Object> page(final String name, final List<Entry> entries) {
        final List<Map<String, Object>> list = new ArrayList<>();
        entries.stream()
                .filter(e -> !e.isDeleted())
                .sorted(Comparator.comparing(Entry::key))
                .forEach(e -> list.add(writeEntry(e)));
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("sequence", entries.stream().mapToLong(Entry::sequence).max().orElse(0));
        map.put(name, list);
        return map;
    }

    private static String claimedAt(final long stamp) {
        return java.time.Instant.ofEpochSecond(silverlatch.clock.NtpTime.EPOCH_UNIX_SECONDS + (stamp >> 32))
                .toString();
    }

    private static Map<String, Object> writeEntry(final Entry entry) {
        return switch (entry.value().get(0)) {
            case Value.Row r -> write(r);
            case Value.Tenant t ->
                Map.of(
                        "name",
                        t.name(),
                        "homes",
                        t.homeRegions(),
                        "share",
                        t.quotaShare(),
                        "sequence",
                        entry.sequence());
            case Value.Evacuation d ->
                Map.of(
                        "zone",
                        d.zone(),
                        "empty",
                        d.active(),
                        "stamp",
                        "" + d.stamp().bits(),
                        "sequence",
                        entry.sequence());
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
                        entry.sequence());
            case Value.Claim c ->
                Map.of(
                        "ticket",
                        c.requestId(),
                        "carrier",
                        c.gatewayId(),
                        "state",
                        c.state(),
                        "since",
                        claimedAt(c.claimedAt()));
            case Value.Epoch g -> Map.of("turn", g.number());
            case Value.Route r -> ConfigurationJson.write(r);
            case Value.BackendPool p -> ConfigurationJson.write(p);
            case Value.RoutingConfiguration c -> Map.of("number", c.number(), "sequence", entry.sequence());
            case Value.ConfigurationDocument p -> Map.of("number", p.number(), "paper", p.text());
            case Value.AcceptedConfiguration a ->
                Map.of("number", a.number(), "match", a.expectedRevision(), "sequence", entry.sequence());
            case Value.CommandOutcome d ->
                Map.of(
                        "change",
                        entry.key().substring(2),
                        "sequence",
                        d.sequence(),
                        "code",
                        d.code(),
                        "faults",
                        d.faults());
        };
    }
}
