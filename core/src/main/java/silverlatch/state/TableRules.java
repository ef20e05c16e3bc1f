package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The rules for tenants and rows of the table, cell by cell. */
public final class TableRules {
    /** The fields of a row that hold a weight or a limit, in the order of the sheet. */
    public static final List<String> FIELDS =
            List.of("prefix", "load", "cold", "cross", "rate", "burst", "running", "queue", "hold", "once", "rank");

    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private TableRules() {}

    /** A row with the weights and limits that hold when nothing is said. */
    public static Value.Row plain(final String tenant, final String kind) {
        return new Value.Row(tenant, kind, 1, 1, 0.5, 0.5, 50, 100, 32, 64, 2_000_000, false, 1);
    }

    /** The same row under another tenant. */
    public static Value.Row renamed(final Value.Row r, final String tenant) {
        return new Value.Row(
                tenant,
                r.kind(),
                r.prefix(),
                r.load(),
                r.cold(),
                r.cross(),
                r.rate(),
                r.burst(),
                r.running(),
                r.queue(),
                r.hold(),
                r.once(),
                r.rank());
    }

    /** The row with one cell changed. */
    public static Cut set(final Value.Row r, final String field, final String value) {
        try {
            return switch (field) {
                case "prefix" ->
                    good(with(r, Double.parseDouble(value), r.load(), r.cold(), r.cross(), r.rate(), r.burst()));
                case "load" ->
                    good(with(r, r.prefix(), Double.parseDouble(value), r.cold(), r.cross(), r.rate(), r.burst()));
                case "cold" ->
                    good(with(r, r.prefix(), r.load(), Double.parseDouble(value), r.cross(), r.rate(), r.burst()));
                case "cross" ->
                    good(with(r, r.prefix(), r.load(), r.cold(), Double.parseDouble(value), r.rate(), r.burst()));
                case "rate" ->
                    good(with(r, r.prefix(), r.load(), r.cold(), r.cross(), Double.parseDouble(value), r.burst()));
                case "burst" ->
                    good(with(r, r.prefix(), r.load(), r.cold(), r.cross(), r.rate(), Double.parseDouble(value)));
                case "running" -> good(with(r, Integer.parseInt(value), r.queue(), r.hold(), r.once(), r.rank()));
                case "queue" -> good(with(r, r.running(), Integer.parseInt(value), r.hold(), r.once(), r.rank()));
                case "hold" -> good(with(r, r.running(), r.queue(), Long.parseLong(value), r.once(), r.rank()));
                case "rank" -> good(with(r, r.running(), r.queue(), r.hold(), r.once(), Integer.parseInt(value)));
                case "once" ->
                    value.equals("true") || value.equals("false")
                            ? good(with(r, r.running(), r.queue(), r.hold(), value.equals("true"), r.rank()))
                            : new Cut.Bad("once is true or false, not " + value);
                default -> new Cut.Bad("no field " + field + "; there are " + String.join(", ", FIELDS));
            };
        } catch (final NumberFormatException e) {
            return new Cut.Bad(field + " takes a number, not " + value);
        }
    }

    /** The value of one cell as text. */
    public static String get(final Value.Row r, final String field) {
        return switch (field) {
            case "prefix" -> "" + r.prefix();
            case "load" -> "" + r.load();
            case "cold" -> "" + r.cold();
            case "cross" -> "" + r.cross();
            case "rate" -> "" + r.rate();
            case "burst" -> "" + r.burst();
            case "running" -> "" + r.running();
            case "queue" -> "" + r.queue();
            case "hold" -> "" + r.hold();
            case "once" -> "" + r.once();
            default -> "" + r.rank();
        };
    }

    /** What is wrong with a row. */
    public static List<String> faults(final Value.Row r) {
        final List<String> list = new ArrayList<>();
        if (!r.tenant().equals("*")) {
            list.addAll(word("tenant", r.tenant()));
        }
        list.addAll(word("kind", r.kind()));
        span(list, "prefix", r.prefix(), 0, 1000);
        span(list, "load", r.load(), 0, 1000);
        span(list, "cold", r.cold(), 0, 1000);
        span(list, "cross", r.cross(), 0, 1000);
        span(list, "rate", r.rate(), 0, 1e6);
        span(list, "burst", r.burst(), 0, 1e6);
        span(list, "running", r.running(), 0, 100_000);
        span(list, "queue", r.queue(), 0, 100_000);
        span(list, "hold", r.hold(), 0, 600_000_000);
        span(list, "rank", r.rank(), 0, 9);
        return list;
    }

    /** What is wrong with a tenant. */
    public static List<String> faults(final Value.Tenant t) {
        final List<String> list = new ArrayList<>(word("name", t.name()));
        if (t.homes().size() > 64) {
            list.add("homes: at most 64");
        }
        t.homes().forEach(h -> list.addAll(word("homes", h)));
        span(list, "share", t.share(), 0.001, 1000);
        if (!t.hash().matches("[0-9a-f]{64}")) {
            list.add("hash: 64 hexadecimal digits are needed");
        }
        return list;
    }

    /** What is wrong with a name. */
    public static List<String> word(final String field, final String text) {
        return WORD.matcher(text).matches()
                ? List.of()
                : List.of(field + ": letters, digits, dot, dash and underscore, 1 to 64, not '" + text + "'");
    }

    private static void span(
            final List<String> list, final String field, final double value, final double low, final double high) {
        if (!(value >= low && value <= high)) {
            list.add(field + ": " + value + " is not within " + low + " and " + high);
        }
    }

    private static Cut good(final Value.Row row) {
        return new Cut.Good(row);
    }

    private static Value.Row with(
            final Value.Row r,
            final double prefix,
            final double load,
            final double cold,
            final double cross,
            final double rate,
            final double burst) {
        return new Value.Row(
                r.tenant(),
                r.kind(),
                prefix,
                load,
                cold,
                cross,
                rate,
                burst,
                r.running(),
                r.queue(),
                r.hold(),
                r.once(),
                r.rank());
    }

    private static Value.Row with(
            final Value.Row r,
            final int running,
            final int queue,
            final long hold,
            final boolean once,
            final int rank) {
        return new Value.Row(
                r.tenant(),
                r.kind(),
                r.prefix(),
                r.load(),
                r.cold(),
                r.cross(),
                r.rate(),
                r.burst(),
                running,
                queue,
                hold,
                once,
                rank);
    }

    /** A row with a cell set, or why not. */
    public sealed interface Cut {
        /** The new row. */
        record Good(Value.Row row) implements Cut {}

        /** Why the cell can't hold the value. */
        record Bad(String fault) implements Cut {}
    }
}
