package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The rules for tenants and rows of the table, cell by cell. */
public final class TableRules {
    /** The fields of a row that hold a weight or a limit, in the order of the sheet. */
    public static final List<String> FIELDS =
            List.of("prefix", "load", "cold", "cross", "rate", "burst", "running", "queue", "hold", "once", "rank");

    /** The tenant of a row that holds for all tenants without a row of their own. */
    static final String ALL_TENANTS = "*";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private TableRules() {}

    /** A row with the weights and limits that hold when nothing is said. */
    public static Value.Row defaultRow(final String tenant, final String kind) {
        return new Value.Row(tenant, kind, 1, 1, 0.5, 0.5, 50, 100, 32, 64, 2_000_000, false, 1);
    }

    /** The same row under another tenant. */
    public static Value.Row withTenant(final Value.Row row, final String tenant) {
        return new Value.Row(
                tenant,
                row.kind(),
                row.prefixWeight(),
                row.loadWeight(),
                row.warmupWeight(),
                row.localityWeight(),
                row.requestsPerSecond(),
                row.burstRequests(),
                row.maxRunning(),
                row.maxQueued(),
                row.timeoutMicros(),
                row.atMostOnce(),
                row.priority());
    }

    /** The row with one cell changed. */
    public static CellChange withCell(final Value.Row row, final String field, final String value) {
        try {
            return switch (field) {
                case "prefix" ->
                    changed(with(
                            row,
                            Double.parseDouble(value),
                            row.loadWeight(),
                            row.warmupWeight(),
                            row.localityWeight(),
                            row.requestsPerSecond(),
                            row.burstRequests()));
                case "load" ->
                    changed(with(
                            row,
                            row.prefixWeight(),
                            Double.parseDouble(value),
                            row.warmupWeight(),
                            row.localityWeight(),
                            row.requestsPerSecond(),
                            row.burstRequests()));
                case "cold" ->
                    changed(with(
                            row,
                            row.prefixWeight(),
                            row.loadWeight(),
                            Double.parseDouble(value),
                            row.localityWeight(),
                            row.requestsPerSecond(),
                            row.burstRequests()));
                case "cross" ->
                    changed(with(
                            row,
                            row.prefixWeight(),
                            row.loadWeight(),
                            row.warmupWeight(),
                            Double.parseDouble(value),
                            row.requestsPerSecond(),
                            row.burstRequests()));
                case "rate" ->
                    changed(with(
                            row,
                            row.prefixWeight(),
                            row.loadWeight(),
                            row.warmupWeight(),
                            row.localityWeight(),
                            Double.parseDouble(value),
                            row.burstRequests()));
                case "burst" ->
                    changed(with(
                            row,
                            row.prefixWeight(),
                            row.loadWeight(),
                            row.warmupWeight(),
                            row.localityWeight(),
                            row.requestsPerSecond(),
                            Double.parseDouble(value)));
                case "running" ->
                    changed(with(
                            row,
                            Integer.parseInt(value),
                            row.maxQueued(),
                            row.timeoutMicros(),
                            row.atMostOnce(),
                            row.priority()));
                case "queue" ->
                    changed(with(
                            row,
                            row.maxRunning(),
                            Integer.parseInt(value),
                            row.timeoutMicros(),
                            row.atMostOnce(),
                            row.priority()));
                case "hold" ->
                    changed(with(
                            row,
                            row.maxRunning(),
                            row.maxQueued(),
                            Long.parseLong(value),
                            row.atMostOnce(),
                            row.priority()));
                case "rank" ->
                    changed(with(
                            row,
                            row.maxRunning(),
                            row.maxQueued(),
                            row.timeoutMicros(),
                            row.atMostOnce(),
                            Integer.parseInt(value)));
                case "once" ->
                    value.equals("true") || value.equals("false")
                            ? changed(with(
                                    row,
                                    row.maxRunning(),
                                    row.maxQueued(),
                                    row.timeoutMicros(),
                                    value.equals("true"),
                                    row.priority()))
                            : new CellChange.Invalid("once is true or false, not " + value);
                default -> new CellChange.Invalid("no field " + field + "; there are " + String.join(", ", FIELDS));
            };
        } catch (final NumberFormatException e) {
            return new CellChange.Invalid(field + " takes a number, not " + value);
        }
    }

    /** The value of one cell as text. */
    public static String cellText(final Value.Row row, final String field) {
        return switch (field) {
            case "prefix" -> "" + row.prefixWeight();
            case "load" -> "" + row.loadWeight();
            case "cold" -> "" + row.warmupWeight();
            case "cross" -> "" + row.localityWeight();
            case "rate" -> "" + row.requestsPerSecond();
            case "burst" -> "" + row.burstRequests();
            case "running" -> "" + row.maxRunning();
            case "queue" -> "" + row.maxQueued();
            case "hold" -> "" + row.timeoutMicros();
            case "once" -> "" + row.atMostOnce();
            default -> "" + row.priority();
        };
    }

    /** What is wrong with a row. */
    public static List<String> faults(final Value.Row row) {
        final List<String> faults = new ArrayList<>();
        if (!row.tenant().equals(ALL_TENANTS)) {
            faults.addAll(nameFaults("tenant", row.tenant()));
        }
        faults.addAll(nameFaults("kind", row.kind()));
        checkRange(faults, "prefix", row.prefixWeight(), 0, 1000);
        checkRange(faults, "load", row.loadWeight(), 0, 1000);
        checkRange(faults, "cold", row.warmupWeight(), 0, 1000);
        checkRange(faults, "cross", row.localityWeight(), 0, 1000);
        checkRange(faults, "rate", row.requestsPerSecond(), 0, 1e6);
        checkRange(faults, "burst", row.burstRequests(), 0, 1e6);
        checkRange(faults, "running", row.maxRunning(), 0, 100_000);
        checkRange(faults, "queue", row.maxQueued(), 0, 100_000);
        checkRange(faults, "hold", row.timeoutMicros(), 0, 600_000_000);
        checkRange(faults, "rank", row.priority(), 0, 9);
        return faults;
    }

    /** What is wrong with a tenant. */
    public static List<String> faults(final Value.Tenant tenant) {
        final List<String> faults = new ArrayList<>(nameFaults("name", tenant.name()));
        if (tenant.homeRegions().size() > 64) {
            faults.add("homes: at most 64");
        }
        tenant.homeRegions().forEach(h -> faults.addAll(nameFaults("homes", h)));
        checkRange(faults, "share", tenant.quotaShare(), 0.001, 1000);
        if (!tenant.keyHash().matches("[0-9a-f]{64}")) {
            faults.add("hash: 64 hexadecimal digits are needed");
        }
        return faults;
    }

    /** What is wrong with a name. */
    public static List<String> nameFaults(final String field, final String text) {
        return NAME.matcher(text).matches()
                ? List.of()
                : List.of(field + ": letters, digits, dot, dash and underscore, 1 to 64, not '" + text + "'");
    }

    private static void checkRange(
            final List<String> faults,
            final String field,
            final double value,
            final double minimum,
            final double maximum) {
        if (!(value >= minimum && value <= maximum)) {
            faults.add(field + ": " + value + " is not within " + minimum + " and " + maximum);
        }
    }

    private static CellChange changed(final Value.Row row) {
        return new CellChange.Changed(row);
    }

    private static Value.Row with(
            final Value.Row row,
            final double prefix,
            final double load,
            final double cold,
            final double cross,
            final double rate,
            final double burst) {
        return new Value.Row(
                row.tenant(),
                row.kind(),
                prefix,
                load,
                cold,
                cross,
                rate,
                burst,
                row.maxRunning(),
                row.maxQueued(),
                row.timeoutMicros(),
                row.atMostOnce(),
                row.priority());
    }

    private static Value.Row with(
            final Value.Row row,
            final int running,
            final int queue,
            final long hold,
            final boolean once,
            final int rank) {
        return new Value.Row(
                row.tenant(),
                row.kind(),
                row.prefixWeight(),
                row.loadWeight(),
                row.warmupWeight(),
                row.localityWeight(),
                row.requestsPerSecond(),
                row.burstRequests(),
                running,
                queue,
                hold,
                once,
                rank);
    }

    /** A row with a cell set, or why not. */
    public sealed interface CellChange {
        /** The new row. */
        record Changed(Value.Row row) implements CellChange {}

        /** Why the cell can't hold the value. */
        record Invalid(String fault) implements CellChange {}
    }
}
