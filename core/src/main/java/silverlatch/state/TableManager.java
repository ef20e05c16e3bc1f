package silverlatch.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Evaluates commands on the table of weights and limits. There is one entry for each row, under its tenant and request
 * kind. The table's revision is the newest sequence that wrote any of its rows. A command takes effect on all of its
 * rows or on none.
 */
final class TableManager {
    private static final int MAX_REPORTED_FAULTS = 50;
    private final CompareAndSet compareAndSet;

    TableManager(final CompareAndSet compareAndSet) {
        this.compareAndSet = compareAndSet;
    }

    /**
     * Changes cells. A row that doesn't exist yet is initialized from the row that applies to all tenants for the same
     * kind, or else with the default values.
     */
    Evaluation patch(final Command.PatchTable command, final EvaluationContext context) {
        final long revision = context.tableRevision();
        if (compareAndSet.isConflict(command.expectedRevision(), revision)) {
            return conflict(revision);
        }
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> rows = patchedRows(command, context, faults);
        rows.values().forEach(row -> faults.addAll(faults(row, context)));
        if (rows.isEmpty()) {
            return RejectionCause.INVALID.reply("$.cells: none given", revision);
        }
        if (!faults.isEmpty()) {
            return RejectionCause.INVALID.reply(faults, revision);
        }
        if (exceedsCapacity(rows.keySet(), context)) {
            return RejectionCause.FULL.reply(
                    "the table would have more than " + StateMachine.MAX_ROWS + " rows", revision);
        }
        final List<Entry> writes = new ArrayList<>();
        rows.forEach((key, row) -> writes.add(context.write(key, row)));
        return CommandOutcomes.writeAcceptance(context, writes, command.id());
    }

    private static Map<String, Value.Row> patchedRows(
            final Command.PatchTable command, final EvaluationContext context, final List<String> faults) {
        final Map<String, Value.Row> rows = new HashMap<>();
        for (int i = 0; i < command.cells().size(); i++) {
            final Command.Cell cell = command.cells().get(i);
            final String key = StateMachine.rowKey(cell.tenant(), cell.kind());
            final Value.Row previous = rows.computeIfAbsent(key, absent -> currentRow(cell, context));
            switch (TableRules.withCell(previous, cell.field(), cell.value())) {
                case TableRules.CellChange.Changed changed -> rows.put(key, changed.row());
                case TableRules.CellChange.Invalid invalid -> faults.add("$.cells[" + i + "]: " + invalid.fault());
            }
        }
        return rows;
    }

    private static Value.Row currentRow(final Command.Cell cell, final EvaluationContext context) {
        return context.value(StateMachine.rowKey(cell.tenant(), cell.kind()), Value.Row.class)
                .or(() -> context.value(StateMachine.rowKey(TableRules.ALL_TENANTS, cell.kind()), Value.Row.class)
                        .map(row -> TableRules.withTenant(row, cell.tenant())))
                .orElseGet(() -> TableRules.defaultRow(cell.tenant(), cell.kind()));
    }

    private static boolean exceedsCapacity(final Set<String> keys, final EvaluationContext context) {
        final long added =
                keys.stream().filter(key -> context.find(key).isEmpty()).count();
        return added > 0 && context.withPrefix(EntryKeys.ROWS).size() + added > StateMachine.MAX_ROWS;
    }

    /** Replaces all rows. Rows that are not in the command are deleted. */
    Evaluation replace(final Command.PutTable command, final EvaluationContext context) {
        final long revision = context.tableRevision();
        if (compareAndSet.isConflict(command.expectedRevision(), revision)) {
            return conflict(revision);
        }
        if (command.rows().size() > StateMachine.MAX_ROWS) {
            return RejectionCause.TOO_LARGE.reply("a table has at most " + StateMachine.MAX_ROWS + " rows", revision);
        }
        final List<String> faults = faults(command.rows(), context);
        if (!faults.isEmpty()) {
            return RejectionCause.INVALID.reply(
                    faults.subList(0, Math.min(MAX_REPORTED_FAULTS, faults.size())), revision);
        }
        final List<Entry> writes = new ArrayList<>();
        final Set<String> keys = new HashSet<>();
        for (final Value.Row row : command.rows()) {
            keys.add(key(row));
            writes.add(context.write(key(row), row));
        }
        context.withPrefix(EntryKeys.ROWS).keySet().stream()
                .filter(key -> !keys.contains(key))
                .forEach(key -> writes.add(context.delete(key)));
        return CommandOutcomes.writeAcceptance(context, writes, command.id());
    }

    private static List<String> faults(final List<Value.Row> rows, final EvaluationContext context) {
        final List<String> faults = new ArrayList<>();
        final Set<String> keys = new HashSet<>();
        for (int i = 0; i < rows.size(); i++) {
            final Value.Row row = rows.get(i);
            final String path = "$.rows[" + i + "]";
            faults(row, context).forEach(fault -> faults.add(path + "." + fault));
            if (!keys.add(key(row))) {
                faults.add(path + ": a second row for " + row.tenant() + " and " + row.kind());
            }
        }
        if (rows.isEmpty()) {
            faults.add("$.rows: a table needs a row");
        }
        return faults;
    }

    private static List<String> faults(final Value.Row row, final EvaluationContext context) {
        final List<String> faults = new ArrayList<>(TableRules.faults(row));
        if (!row.tenant().equals(TableRules.ALL_TENANTS)
                && context.find(EntryKeys.TENANTS + row.tenant()).isEmpty()) {
            faults.add("tenant: there is no tenant " + row.tenant());
        }
        return faults;
    }

    private static String key(final Value.Row row) {
        return StateMachine.rowKey(row.tenant(), row.kind());
    }

    private static Evaluation conflict(final long revision) {
        return RejectionCause.CONFLICT.reply("the table is at sequence " + revision, revision);
    }
}
