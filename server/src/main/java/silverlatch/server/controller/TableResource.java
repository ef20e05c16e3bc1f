package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.List;
import silverlatch.json.JsonDocument;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/** The table of rows by tenant and kind ({@code /v1/table}). */
final class TableResource {
    private static final String KEY_PREFIX = "r/";
    private final StateApi state;

    TableResource(final StateApi state) {
        this.state = state;
    }

    /** Replies with all rows. */
    void get(final HttpExchange exchange) {
        state.list(exchange, KEY_PREFIX, "rows");
    }

    /** Replaces all rows. */
    void put(final HttpExchange exchange) {
        state.parseBody(exchange).ifPresent(body -> {
            final List<Value.Row> rows = readRows(body);
            if (!ApiReplies.rejectIfFaulty(exchange, body)) {
                state.write(exchange, (id, expectedRevision) -> new Command.PutTable(id, rows, expectedRevision));
            }
        });
    }

    /** Changes individual cells. */
    void patch(final HttpExchange exchange) {
        state.parseBody(exchange).ifPresent(body -> {
            final List<Command.Cell> cells = TableJson.readCells(body);
            if (!ApiReplies.rejectIfFaulty(exchange, body)) {
                state.write(exchange, (id, expectedRevision) -> new Command.PatchTable(id, cells, expectedRevision));
            }
        });
    }

    /** Reads the rows. The key sequence is allowed and ignored, so that a table that was read by GET can be put again. */
    private static List<Value.Row> readRows(final JsonDocument body) {
        body.integer("sequence", 0, Long.MAX_VALUE, 0);
        final List<Value.Row> rows = new ArrayList<>();
        for (final JsonDocument row : body.objects("rows", StateMachine.MAX_ROWS + 1)) {
            rows.add(TableJson.read(row));
            row.finish();
        }
        return rows;
    }
}
