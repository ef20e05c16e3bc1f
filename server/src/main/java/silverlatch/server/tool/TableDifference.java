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

/** The rows and cells that differ between the current table and a file of rows. */
sealed interface TableDifference {
    /** The maximum size of the file, in bytes. */
    int MAX_FILE_BYTES = 64 << 20;

    /**
     * The differences between the table and a valid file.
     *
     * @param lines    one line for each row that is added (+) or removed (-) and for each cell that differs
     * @param revision the table's sequence number at the time of the comparison
     */
    record Computed(List<String> lines, long revision) implements TableDifference {
        /** Copies the list of lines. */
        public Computed {
            lines = List.copyOf(lines);
        }
    }

    /** The file could not be compared, since it has faults. */
    record Invalid(List<String> faults) implements TableDifference {
        /** Copies the list of faults. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /** Compares the table that the API returned with a file of rows. */
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
                lines.add("- " + describe(row));
            }
        });
        proposedRows.forEach((key, row) -> {
            if (currentRows.containsKey(key)) {
                addChangedCells(currentRows.get(key), row, lines);
            } else {
                lines.add("+ " + describe(row));
            }
        });
        return lines;
    }

    private static void addChangedCells(final Value.Row current, final Value.Row proposed, final List<String> lines) {
        for (final String field : TableRules.FIELDS) {
            final String before = TableRules.cellText(current, field);
            final String after = TableRules.cellText(proposed, field);
            if (!before.equals(after)) {
                lines.add("  " + describe(proposed) + " " + field + ": " + before + " -> " + after);
            }
        }
    }

    private static String describe(final Value.Row row) {
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
