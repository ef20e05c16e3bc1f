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

/** What a file of rows would change in a table, cell by cell. */
sealed interface TableDifference {
    /** The largest file, in bytes. */
    int MAX_FILE_BYTES = 64 << 20;

    /**
     * The difference.
     *
     * @param lines    one for each row that is added (+) or removed (-) and each cell that differs
     * @param revision the sequence of the table that the file was compared with
     */
    record Computed(List<String> lines, long revision) implements TableDifference {
        /** Copies the lines. */
        public Computed {
            lines = List.copyOf(lines);
        }
    }

    /** There is none, as the file has faults. */
    record Invalid(List<String> faults) implements TableDifference {
        /** Copies the faults. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /** Compares the table as the API gave it with a file of rows. */
    static TableDifference between(final JsonDocument current, final byte[] file) {
        if (!(JsonDocument.parse(file, MAX_FILE_BYTES) instanceof JsonDocument.ParseResult.Valid parsed)) {
            return new Invalid(List.of("$: not JSON"));
        }
        final JsonDocument document = parsed.document();
        document.integer("sequence", 0, Long.MAX_VALUE, 0);
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> proposedRows = readRows(document, faults);
        faults.addAll(document.finish());
        if (!faults.isEmpty()) {
            return new Invalid(faults);
        }
        final Map<String, Value.Row> currentRows = readRows(current, new ArrayList<>());
        return new Computed(lines(currentRows, proposedRows), current.integer("sequence", 0, Long.MAX_VALUE));
    }

    private static List<String> lines(
            final Map<String, Value.Row> currentRows, final Map<String, Value.Row> proposedRows) {
        final List<String> lines = new ArrayList<>();
        currentRows.forEach((key, row) -> {
            if (!proposedRows.containsKey(key)) {
                lines.add("- " + name(row));
            }
        });
        proposedRows.forEach((key, row) -> {
            if (currentRows.containsKey(key)) {
                addChangedCells(currentRows.get(key), row, lines);
            } else {
                lines.add("+ " + name(row));
            }
        });
        return lines;
    }

    private static void addChangedCells(final Value.Row current, final Value.Row proposed, final List<String> lines) {
        for (final String field : TableRules.FIELDS) {
            final String before = TableRules.cellText(current, field);
            final String after = TableRules.cellText(proposed, field);
            if (!before.equals(after)) {
                lines.add("  " + name(proposed) + " " + field + ": " + before + " -> " + after);
            }
        }
    }

    private static String name(final Value.Row row) {
        return row.tenant() + " " + row.kind();
    }

    private static Map<String, Value.Row> readRows(final JsonDocument document, final List<String> faults) {
        final Map<String, Value.Row> rows = new TreeMap<>();
        final List<JsonDocument> rowDocuments = document.objects("rows", StateMachine.MAX_ROWS + 1);
        for (int i = 0; i < rowDocuments.size(); i++) {
            final Value.Row row = TableJson.read(rowDocuments.get(i));
            rowDocuments.get(i).finish();
            final String location = "$.rows[" + i + "].";
            TableRules.faults(row).forEach(fault -> faults.add(location + fault));
            final String key = StateMachine.rowKey(row.tenant(), row.kind());
            if (rows.put(key, row) != null) {
                faults.add(location + "kind: a second row for " + row.tenant() + " and " + row.kind());
            }
        }
        return rows;
    }
}
