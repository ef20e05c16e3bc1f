package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** What tenants and rows of the table may hold, and rows changed cell by cell. */
public final class TableRules {
    /** The fields of a row that hold a weight or a limit, as they are called in cells and documents, in their order. */
    public static final List<String> FIELDS =
            List.of("prefix", "load", "cold", "cross", "rate", "burst", "running", "queue", "hold", "once", "rank");

    /** The tenant of a row that holds for all tenants without a row of their own. */
    static final String ALL_TENANTS = "*";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_HOME_REGIONS = 64;

    private TableRules() {}

    /** A row with the weights and limits that hold when nothing is said. */
    public static Value.Row defaultRow(final String tenant, final String kind) {
        return new Value.Row(tenant, kind, 1, 1, 0.5, 0.5, 50, 100, 32, 64, 2_000_000, false, 1);
    }

    /** The same row under another tenant. */
    public static Value.Row withTenant(final Value.Row row, final String tenant) {
        return new RowBuilder(row).tenant(tenant).build();
    }

    /** The row with one cell changed, or why it can't be; the new value is not checked against its bounds. */
    public static CellChange withCell(final Value.Row row, final String field, final String value) {
        try {
            return new CellChange.Changed(new RowBuilder(row).cell(field, value).build());
        } catch (final NumberFormatException notNumber) {
            return new CellChange.Invalid(field + " takes a number, not " + value);
        } catch (final IllegalArgumentException invalid) {
            return new CellChange.Invalid(invalid.getMessage());
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

    /** What is wrong with a row; each fault begins with the name of its field. */
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

    /** What is wrong with a tenant; each fault begins with the name of its field. */
    public static List<String> faults(final Value.Tenant tenant) {
        final List<String> faults = new ArrayList<>(nameFaults("name", tenant.name()));
        if (tenant.homeRegions().size() > MAX_HOME_REGIONS) {
            faults.add("homes: at most " + MAX_HOME_REGIONS);
        }
        tenant.homeRegions().forEach(region -> faults.addAll(nameFaults("homes", region)));
        checkRange(faults, "share", tenant.quotaShare(), 0.001, 1000);
        if (!KEY_HASH.matcher(tenant.keyHash()).matches()) {
            faults.add("hash: 64 hexadecimal digits are needed");
        }
        return faults;
    }

    /** What is wrong with a name: of a tenant, a kind, a region, a zone, a schedule or a process. */
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

    /** A row with a cell set, or why not. */
    public sealed interface CellChange {
        /** The new row. */
        record Changed(Value.Row row) implements CellChange {}

        /** Why the cell can't hold the value. */
        record Invalid(String fault) implements CellChange {}
    }
}
