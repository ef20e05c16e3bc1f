package silverlatch.server.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;
import silverlatch.server.controller.TableJson;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** The rows of a table file by tenant and kind of request. */
final class TableFile {
    private static final int MAX_FILE_BYTES = 64 << 20;
    private static final int MAX_ROWS = 20_000;
    private static final String ANY_TENANT = "*";
    private final Map<String, Value.Row> rows;

    private TableFile(final Map<String, Value.Row> rows) {
        this.rows = Map.copyOf(rows);
    }

    /** Reads a file in the format in which the API returns a table. Faults of the file are added to {@code faults}. */
    static TableFile read(final Path file, final List<String> faults) {
        final Map<String, Value.Row> rows = new HashMap<>();
        try {
            switch (JsonDocument.parse(Files.readAllBytes(file), MAX_FILE_BYTES)) {
                case JsonDocument.ParseResult.Invalid invalid -> faults.add(file + ": " + invalid.reason());
                case JsonDocument.ParseResult.Valid valid -> readRows(file, valid.document(), rows, faults);
            }
        } catch (final IOException failure) {
            faults.add(file + ": can't be read: " + failure.getMessage());
        }
        return new TableFile(rows);
    }

    /** Returns the row of a tenant and kind or, if there is none, the kind's row for all tenants. */
    Optional<Value.Row> row(final String tenant, final String kind) {
        return Optional.ofNullable(rows.get(key(tenant, kind)))
                .or(() -> Optional.ofNullable(rows.get(key(ANY_TENANT, kind))));
    }

    private static void readRows(
            final Path file,
            final JsonDocument document,
            final Map<String, Value.Row> rows,
            final List<String> faults) {
        document.integer("sequence", 0, Long.MAX_VALUE, 0);
        final List<JsonDocument> rowDocuments = document.objects("rows", MAX_ROWS);
        for (int i = 0; i < rowDocuments.size(); i++) {
            final Value.Row row = TableJson.read(rowDocuments.get(i));
            rowDocuments.get(i).finish();
            final String location = file + ": $.rows[" + i + "].";
            TableRules.faults(row).forEach(fault -> faults.add(location + fault));
            rows.put(key(row.tenant(), row.kind()), row);
        }
        document.finish().forEach(fault -> faults.add(file + ": " + fault));
    }

    private static String key(final String tenant, final String kind) {
        return tenant + "/" + kind;
    }
}
