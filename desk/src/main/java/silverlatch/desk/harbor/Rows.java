package silverlatch.desk.harbor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import silverlatch.sheet.Sheet;
import silverlatch.tariff.Entry;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Tariff;

/** Rows, tenants and drains as JSON, both ways. */
public final class Rows {
    private Rows() {
    }

    /** A row as JSON. */
    public static Map<String, Object> write(final Leaf.Row r) {
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
    public static Leaf.Row read(final Sheet s) {
        final Leaf.Row p = Tariff.plain(s.text("tenant", 64), s.text("kind", 64));
        return new Leaf.Row(p.tenant(), p.kind(), s.number("prefix", p.prefix()), s.number("load", p.load()), s.number("cold", p.cold()),
                s.number("cross", p.cross()), s.number("rate", p.rate()), s.number("burst", p.burst()),
                (int) s.whole("running", 0, Integer.MAX_VALUE, p.running()), (int) s.whole("queue", 0, Integer.MAX_VALUE, p.queue()),
                s.whole("hold", 0, Long.MAX_VALUE, p.hold()), s.flag("once", p.once()), (int) s.whole("rank", 0, Integer.MAX_VALUE, p.rank()));
    }

    /** Entries as a list of JSON objects, gone ones left out, and the newest sequence among all. */
    public static Map<String, Object> page(final String name, final List<Entry> entries) {
        final List<Map<String, Object>> list = new ArrayList<>();
        entries.stream().filter(e -> !e.gone()).sorted(Comparator.comparing(Entry::key)).forEach(e -> list.add(one(e)));
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("sequence", entries.stream().mapToLong(Entry::sequence).max().orElse(0));
        map.put(name, list);
        return map;
    }

    private static String since(final long stamp) {
        return java.time.Instant.ofEpochSecond(silverlatch.tide.Ntp.EPOCH + (stamp >> 32)).toString();
    }

    private static Map<String, Object> one(final Entry e) {
        return switch (e.leaf().getFirst()) {
            case Leaf.Row r -> write(r);
            case Leaf.Tenant t -> Map.of("name", t.name(), "homes", t.homes(), "share", t.share(), "sequence", e.sequence());
            case Leaf.Drain d -> Map.of("zone", d.zone(), "empty", d.on(), "stamp", "" + d.at().bits(), "sequence", e.sequence());
            case Leaf.Calendar k -> Map.of("name", k.name(), "cron", k.cron(), "cells", k.cells().stream().map(c -> c.tenant() + " " + c.kind()
                    + " " + c.field() + " = " + c.value()).toList(), "zone", k.zone(), "empty", k.empty(), "sequence", e.sequence());
            case Leaf.Claim c -> Map.of("ticket", c.ticket(), "carrier", c.carrier(), "state", c.state(), "since", since(c.at()));
            case Leaf.Glass g -> Map.of("turn", g.turn());
            case Leaf.Rule r -> Articles.write(r);
            case Leaf.Pool p -> Articles.write(p);
            case Leaf.Charter c -> Map.of("number", c.number(), "sequence", e.sequence());
            case Leaf.Paper p -> Map.of("number", p.number(), "paper", p.text());
            case Leaf.Deed d -> Map.of("change", e.key().substring(2), "sequence", d.sequence(), "code", d.code(), "faults", d.faults());
        };
    }
}
