package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import silverlatch.json.JsonDocument;
import silverlatch.state.Command;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** Reads rows and cells of the table from JSON, and writes rows as JSON. Times are in microseconds, rates in requests per second. */
public final class TableJson {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_CELLS = 10_000;

    private TableJson() {}

    /** Returns a row as JSON, with all its fields. */
    public static Map<String, Object> write(final Value.Row row) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("tenant", row.tenant());
        fields.put("kind", row.kind());
        fields.put("prefix", row.prefixWeight());
        fields.put("load", row.loadWeight());
        fields.put("cold", row.warmupWeight());
        fields.put("cross", row.localityWeight());
        fields.put("rate", row.requestsPerSecond());
        fields.put("burst", row.burstRequests());
        fields.put("running", row.maxRunning());
        fields.put("queue", row.maxQueued());
        fields.put("hold", row.timeoutMicros());
        fields.put("once", row.atMostOnce());
        fields.put("rank", row.priority());
        return fields;
    }

    /** Reads a row; absent fields have the values of the default row. Faults are recorded in the document. */
    public static Value.Row read(final JsonDocument document) {
        final Value.Row defaults = TableRules.defaultRow(
                document.string("tenant", MAX_NAME_LENGTH), document.string("kind", MAX_NAME_LENGTH));
        return new Value.Row(
                defaults.tenant(),
                defaults.kind(),
                document.number("prefix", defaults.prefixWeight()),
                document.number("load", defaults.loadWeight()),
                document.number("cold", defaults.warmupWeight()),
                document.number("cross", defaults.localityWeight()),
                document.number("rate", defaults.requestsPerSecond()),
                document.number("burst", defaults.burstRequests()),
                (int) document.integer("running", 0, Integer.MAX_VALUE, defaults.maxRunning()),
                (int) document.integer("queue", 0, Integer.MAX_VALUE, defaults.maxQueued()),
                document.integer("hold", 0, Long.MAX_VALUE, defaults.timeoutMicros()),
                document.flag("once", defaults.atMostOnce()),
                (int) document.integer("rank", 0, Integer.MAX_VALUE, defaults.priority()));
    }

    /** Reads the list {@code cells} of a patch or a schedule; faults are recorded in the document. */
    static List<Command.Cell> readCells(final JsonDocument document) {
        final List<Command.Cell> cells = new ArrayList<>();
        for (final JsonDocument cell : document.objects("cells", MAX_CELLS)) {
            cells.add(new Command.Cell(
                    cell.string("tenant", MAX_NAME_LENGTH),
                    cell.string("kind", MAX_NAME_LENGTH),
                    cell.string("field", MAX_NAME_LENGTH),
                    cell.scalarText("value")));
            cell.finish();
        }
        return cells;
    }
}
