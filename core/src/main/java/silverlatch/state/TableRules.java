package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Validation rules for names, tenants and rows of the table, the default row, and changes of single cells. */
public final class TableRules {
    /** Names of a row's weights and limits in cells and documents, in their order. */
    public static final List<String> FIELDS =
            List.of("prefix", "load", "cold", "cross", "rate", "burst", "running", "queue", "hold", "once", "rank");

    /** Tenant name of a row that applies to all tenants without a row of their own. */
    static final String ALL_TENANTS = "*";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_HOME_REGIONS = 64;

    private TableRules() {}

    /** Returns a row with the default weights and limits. */
    public static Value.Row defaultRow(final String tenant, final String kind) {
        return new Value.Row(tenant, kind, 1, 1, 0.5, 0.5, 50, 100, 32, 64, 2_000_000, false, 1);
    }

    /** Returns a copy of a row for another tenant. */
    public static Value.Row withTenant(final Value.Row row, final String tenant) {
        return new RowBuilder(row).tenant(tenant).build();
    }

    /**
     * Returns the row with one cell changed, or why the cell can't be set. The range of the new value is not checked.
     */
    public static CellChange withCell(final Value.Row row, final String field, final String value) {
        try {
            return new CellChange.Changed(new RowBuilder(row).cell(field, value).build());
        } catch (final NumberFormatException notNumber) {
            return new CellChange.Invalid(field + " takes a number, not " + value);
        } catch (final IllegalArgumentException invalid) {
            return new CellChange.Invalid(invalid.getMessage());
        }
    }

    /** Returns the value of one cell as text. */
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

    /** Returns the faults of a row. Each begins with the name of its field. */
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

    /** Returns the faults of a tenant. Each begins with the name of its field. */
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

    /** Returns the faults of a name of a tenant, request kind, region, zone, schedule or process. */
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

    /** Result of changing one cell. */
    public sealed interface CellChange {
        /** The cell was set. */
        record Changed(Value.Row row) implements CellChange {}

        /** The cell can't have the value, for the given reason. */
        record Invalid(String fault) implements CellChange {}
    }
}
