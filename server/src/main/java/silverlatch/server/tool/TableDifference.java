package silverlatch.server.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.json.JsonDocument;
import silverlatch.server.controller.TableJson;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** What a file would change in a table, cell by cell. */
sealed interface TableDifference {
    /** A line for each row that comes or goes and each cell that differs, and the sequence compared with. */
    record Computed(List<String> lines, long revision) implements TableDifference {
        /** Copies the lines. */
        public Computed {
            lines = List.copyOf(lines);
        }
    }

    /** What is wrong with the file. */
    record Invalid(List<String> faults) implements TableDifference {
        /** Copies the faults. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /** Compares the table as it was read with a file of rows. */
    static TableDifference between(final JsonDocument current, final byte[] file) {
        if (!(JsonDocument.parse(file, 64 << 20) instanceof JsonDocument.ParseResult.Valid read)) {
            return new Invalid(List.of("$: not JSON"));
        }
        final JsonDocument document = read.document();
        document.integer("sequence", 0, Long.MAX_VALUE, 0);
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> proposedRows = readRows(document, faults);
        faults.addAll(document.finish());
        if (!faults.isEmpty()) {
            return new Invalid(faults);
        }
        final Map<String, Value.Row> currentRows = readRows(current, new ArrayList<>());
        final List<String> lines = new ArrayList<>();
        currentRows.forEach((k, r) -> {
            if (!proposedRows.containsKey(k)) {
                lines.add("- " + r.tenant() + " " + r.kind());
            }
        });
        proposedRows.forEach((k, r) -> {
            if (!currentRows.containsKey(k)) {
                lines.add("+ " + r.tenant() + " " + r.kind());
                return;
            }
            TableRules.FIELDS.stream()
                    .filter(f -> !TableRules.cellText(currentRows.get(k), f).equals(TableRules.cellText(r, f)))
                    .forEach(f -> lines.add("  " + r.tenant() + " " + r.kind() + " " + f + ": "
                            + TableRules.cellText(currentRows.get(k), f) + " -> " + TableRules.cellText(r, f)));
        });
        return new Computed(lines, current.integer("sequence", 0, Long.MAX_VALUE));
    }

    private static Map<String, Value.Row> readRows(final JsonDocument document, final List<String> faults) {
        final Map<String, Value.Row> rows = new TreeMap<>();
        final List<JsonDocument> rowDocuments = document.objects("rows", StateMachine.MAX_ROWS + 1);
        for (int i = 0; i < rowDocuments.size(); i++) {
            final Value.Row row = TableJson.read(rowDocuments.get(i));
            rowDocuments.get(i).finish();
            final String location = "$.rows[" + i + "].";
            TableRules.faults(row).forEach(f -> faults.add(location + f));
            if (rows.containsKey(StateMachine.rowKey(row.tenant(), row.kind()))) {
                faults.add(location + "kind: a second row for " + row.tenant() + " and " + row.kind());
            }
            rows.put(StateMachine.rowKey(row.tenant(), row.kind()), row);
        }
        return rows;
    }
}
