package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/** Creates the tables and tenants that the operators of a simulated day write. */
final class TableValues {
    /** The request rate of every row of the first table. */
    static final double FIRST_RATE = 900;

    private static final double BURST = 2_000;
    private static final int MAX_RUNNING = 400;
    private static final int MAX_QUEUED = 600;
    private static final long TIMEOUT_MICROS = 3_000_000L;
    private static final int LONG_PREFIX = 8;
    private static final int URGENT = 9;

    private TableValues() {}

    /** Returns a row for each kind of the plan, with a rate that identifies this table, and the row that is the gate. */
    static List<Value.Row> rows(final Plan plan, final double rate, final boolean gateShut) {
        final List<Value.Row> rows = new ArrayList<>(
                plan.kinds().stream().map(kind -> row(kind, rate)).toList());
        rows.add(row(Operators.GATE_KIND, 1, FIRST_RATE, gateShut, 1));
        return rows;
    }

    private static Value.Row row(final Plan.Kind kind, final double rate) {
        return row(
                kind.kind(),
                kind.prefixParts() > LONG_PREFIX ? 3 : 1,
                rate,
                kind.atMostOnce(),
                kind.atMostOnce() ? URGENT : 1);
    }

    private static Value.Row row(
            final String kind,
            final double prefixWeight,
            final double rate,
            final boolean atMostOnce,
            final int priority) {
        final Value.Row defaults = TableRules.defaultRow("*", kind);
        return new Value.Row(
                "*",
                kind,
                prefixWeight,
                defaults.loadWeight(),
                defaults.warmupWeight(),
                defaults.localityWeight(),
                rate,
                BURST,
                MAX_RUNNING,
                MAX_QUEUED,
                TIMEOUT_MICROS,
                atMostOnce,
                priority);
    }

    /** Returns a tenant of the plan with the given home regions. */
    static Value.Tenant tenant(final Plan.Tenant tenant, final List<String> homeRegions) {
        return new Value.Tenant(
                tenant.name(), homeRegions, tenant.share(), Digests.sha256Hex(tenant.key()), "salt-" + tenant.name());
    }
}
