package silverlatch.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Charters: what is wrong with one, each fault with its place, and what one changes. */
public final class ConfigurationValidator {
    /** The key of the charter in force. */
    public static final String CHARTER = "p/charter";
    /** The key of the charter as the operator wrote it; it stays with the control plane. */
    public static final String PAPER = "q/paper";
    /** How the keys of rules begin. */
    public static final String RULES = "u/";
    /** How the keys of pools begin. */
    public static final String POOLS = "b/";
    /** How many rules a charter may have. */
    public static final int MOST = 20_000;
    /** How many pools a charter may have. */
    public static final int MOST_POOLS = 5_000;
    /** How many bytes a charter's paper may have. */
    public static final int LONGEST = 4 << 20;

    private static final int LOTS = 1_000;
    private static final int TOLD = 20;
    private static final int NAME = 256;
    private static final int PATH = 1_024;

    private ConfigurationValidator() {}

    /** The key of a rule. */
    public static String rule(final String host, final String path) {
        return RULES + host + "|" + path;
    }

    /** The key of a pool. */
    public static String pool(final String name) {
        return POOLS + name;
    }

    /** What is wrong with a charter that comes after the number in force; at most a few faults are told. */
    static List<String> faults(final Command.PutConfiguration w, final long now) {
        final List<String> list = new ArrayList<>();
        final Value.RoutingConfiguration c = w.charter();
        if (c.number() <= now) {
            list.add("$.number: " + c.number() + " is not higher than " + now + ", which is in force");
        }
        if (w.rules().size() > MOST) {
            list.add("$.rules: at most " + MOST + ", not " + w.rules().size());
        }
        if (w.pools().size() > MOST_POOLS) {
            list.add("$.pools: at most " + MOST_POOLS + ", not " + w.pools().size());
        }
        if (huge(w.paper())) {
            list.add("$: longer than " + LONGEST + " bytes");
        }
        if (!list.isEmpty()) {
            return list;
        }
        low(list, "$.bounds.head", c.head(), 0);
        low(list, "$.bounds.body", c.body(), 0);
        low(list, "$.bounds.slow", c.slow(), 0);
        low(list, "$.bounds.idle", c.idle(), 0);
        final Set<String> pools = new HashSet<>();
        for (int i = 0; i < w.pools().size() && list.size() < TOLD; i++) {
            pool(list, "$.pools[" + i + "]", w.pools().get(i), pools);
        }
        final Set<String> keys = new HashSet<>();
        for (int i = 0; i < w.rules().size() && list.size() < TOLD; i++) {
            rule(list, "$.rules[" + i + "]", w.rules().get(i), pools, keys);
        }
        return List.copyOf(list.subList(0, Math.min(TOLD, list.size())));
    }

    /** What a charter writes over the rules and pools that stand: only what differs, and always itself. */
    static List<Entry> puts(final Command.PutConfiguration w, final Map<String, Entry> old, final long seq) {
        final Map<String, Value> next = new HashMap<>();
        w.rules().forEach(r -> next.put(rule(r.host(), r.path()), r));
        w.pools().forEach(p -> next.put(pool(p.name()), p));
        final List<Entry> puts = new ArrayList<>();
        old.keySet().stream()
                .filter(k -> !next.containsKey(k))
                .sorted()
                .forEach(k -> puts.add(new Entry(k, seq, List.of())));
        next.entrySet().stream()
                .filter(e -> !old.containsKey(e.getKey())
                        || !old.get(e.getKey()).leaf().get(0).equals(e.getValue()))
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> puts.add(new Entry(e.getKey(), seq, List.of(e.getValue()))));
        puts.add(new Entry(CHARTER, seq, List.of(w.charter())));
        puts.add(new Entry(
                PAPER, seq, List.of(new Value.ConfigurationDocument(w.charter().number(), w.paper()))));
        return puts;
    }

    /** Whether a paper is longer than any that is taken. */
    public static boolean huge(final String paper) {
        return paper.length() > LONGEST || paper.getBytes(StandardCharsets.UTF_8).length > LONGEST;
    }

    private static void pool(
            final List<String> list, final String at, final Value.BackendPool p, final Set<String> pools) {
        name(list, at + ".name", p.name(), NAME);
        if (!pools.add(p.name())) {
            list.add(at + ".name: a second pool " + cut(p.name()));
        }
        low(list, at + ".lines", p.lines(), 0);
        low(list, at + ".cold", p.cold(), 0);
        low(list, at + ".rate", p.rate(), 0);
        low(list, at + ".slots", p.slots(), 0);
        low(list, at + ".memory", p.memory(), 0);
        low(list, at + ".stride", p.stride(), 0);
    }

    private static void rule(
            final List<String> list,
            final String at,
            final Value.Route r,
            final Set<String> pools,
            final Set<String> keys) {
        name(list, at + ".name", r.name(), NAME);
        name(list, at + ".host", r.host(), NAME);
        if (r.host().indexOf('/') >= 0 || r.host().indexOf('|') >= 0) {
            list.add(at + ".host: no '/' and no '|' may be in it");
        }
        name(list, at + ".path", r.path(), PATH);
        if (!r.path().startsWith("/") || !r.path().endsWith("/")) {
            list.add(at + ".path: it must begin and end with '/', not '" + cut(r.path()) + "'");
        }
        if (!keys.add(rule(r.host(), r.path()))) {
            list.add(at + ": a second rule for " + cut(r.host()) + " and " + cut(r.path()));
        }
        low(list, at + ".hold", r.hold(), 1);
        low(list, at + ".aim", r.aim(), 0);
        low(list, at + ".gap", r.gap(), 0);
        low(list, at + ".rank", r.rank(), 0);
        low(list, at + ".tries", r.tries(), 1);
        for (int i = 0; i < r.homes().size() && list.size() < TOLD; i++) {
            name(list, at + ".homes[" + i + "]", r.homes().get(i), NAME);
        }
        lots(list, at + ".lots", r.lots(), pools);
    }

    private static void lots(
            final List<String> list, final String at, final List<Value.WeightedBackend> lots, final Set<String> pools) {
        if (lots.isEmpty() || lots.size() > LOTS) {
            list.add(at + ": 1 to " + LOTS + " are needed, not " + lots.size());
            return;
        }
        for (int i = 0; i < lots.size() && list.size() < TOLD; i++) {
            if (!pools.contains(lots.get(i).pool())) {
                list.add(at + "[" + i + "].pool: there is no pool "
                        + cut(lots.get(i).pool()));
            }
            low(list, at + "[" + i + "].weight", lots.get(i).weight(), 0);
        }
        if (lots.stream().mapToLong(Value.WeightedBackend::weight).sum() <= 0) {
            list.add(at + ": the weights add up to nothing");
        }
    }

    private static void name(final List<String> list, final String at, final String text, final int most) {
        if (text.isEmpty() || text.length() > most) {
            list.add(at + ": 1 to " + most + " characters are needed, not " + text.length());
        }
    }

    private static void low(final List<String> list, final String at, final double value, final double least) {
        if (!(value >= least)) {
            list.add(at + ": " + (value == Math.rint(value) ? "" + (long) value : "" + value) + " is less than "
                    + (long) least);
        }
    }

    private static String cut(final String text) {
        return text.length() <= 64 ? text : text.substring(0, 64) + "...";
    }
}
