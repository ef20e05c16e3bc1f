package silverlatch.desk.harbor;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.sheet.Sheet;
import silverlatch.tariff.Charters;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Wish;

/** Charters, their rules and their pools as JSON, both ways. */
public final class Articles {
    private static final long LONG = Long.MAX_VALUE;
    private static final int INT = Integer.MAX_VALUE;

    private Articles() {
    }

    /** Reads a charter; what is wrong with it is noted in the sheet. */
    public static Wish.Lay read(final Sheet s, final String paper, final String id, final long match) {
        final long number = s.whole("number", 1, LONG);
        final List<Leaf.Rule> rules = s.sheets("rules", Charters.MOST + 1).stream().map(Articles::rule).toList();
        final List<Leaf.Pool> pools = s.sheets("pools", Charters.MOST_POOLS + 1).stream().map(Articles::pool).toList();
        final Sheet b = s.sheet("bounds");
        final Leaf.Charter charter = new Leaf.Charter(number, (int) b.whole("head", 0, INT), (int) b.whole("body", 0, INT),
                b.whole("slow", 0, LONG), b.whole("idle", 0, LONG));
        b.end();
        return new Wish.Lay(id, charter, rules, pools, paper, match);
    }

    /** A body as text, if it can be given back to the byte. */
    public static Optional<String> paper(final byte[] body) {
        final String text = new String(body, StandardCharsets.UTF_8);
        return java.util.Arrays.equals(text.getBytes(StandardCharsets.UTF_8), body) ? Optional.of(text) : Optional.empty();
    }

    /** A rule as JSON. */
    public static Map<String, Object> write(final Leaf.Rule r) {
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
        map.put("lots", r.lots().stream().map(l -> Map.of("pool", l.pool(), "weight", l.weight())).toList());
        return map;
    }

    /** A pool as JSON. */
    public static Map<String, Object> write(final Leaf.Pool p) {
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

    private static Leaf.Rule rule(final Sheet s) {
        final Leaf.Rule r = new Leaf.Rule(s.text("name", 256), s.text("host", 256), s.text("path", 1_024), s.flag("once", false),
                s.flag("stream", false), s.flag("resume", false), s.flag("kept", false), s.whole("hold", 0, LONG), s.whole("aim", 0, LONG, 0),
                s.whole("gap", 0, LONG, 0), (int) s.whole("rank", 0, INT, 0), (int) s.whole("tries", 0, INT, 1), s.texts("homes", 64, 64),
                s.sheets("lots", 1_000).stream().map(Articles::lot).toList());
        s.end();
        return r;
    }

    private static Leaf.Lot lot(final Sheet s) {
        final Leaf.Lot l = new Leaf.Lot(s.text("pool", 256), (int) s.whole("weight", 0, INT));
        s.end();
        return l;
    }

    private static Leaf.Pool pool(final Sheet s) {
        final Leaf.Pool p = new Leaf.Pool(s.text("name", 256), s.text("health", 1_024, ""), (int) s.whole("lines", 0, INT, 0),
                s.whole("cold", 0, LONG, 0), s.number("rate", 0), (int) s.whole("slots", 0, INT), (int) s.whole("memory", 0, INT, 0),
                (int) s.whole("stride", 0, INT, 0));
        s.end();
        return p;
    }
}
