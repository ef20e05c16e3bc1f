package silverlatch.server.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.json.JsonDocument;
import silverlatch.server.controller.Rows;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** What a file would change in a table, cell by cell. */
sealed interface Difference {
    /** A line for each row that comes or goes and each cell that differs, and the sequence compared with. */
    record Good(List<String> lines, long sequence) implements Difference {
        /** Copies the lines. */
        public Good {
            lines = List.copyOf(lines);
        }
    }

    /** What is wrong with the file. */
    record Bad(List<String> faults) implements Difference {
        /** Copies the faults. */
        public Bad {
            faults = List.copyOf(faults);
        }
    }

    /** Compares the table as it was read with a file of rows. */
    static Difference between(final JsonDocument now, final byte[] file) {
        if (!(JsonDocument.parse(file, 64 << 20) instanceof JsonDocument.ParseResult.Valid read)) {
            return new Bad(List.of("$: not JSON"));
        }
        final JsonDocument s = read.document();
        s.integer("sequence", 0, Long.MAX_VALUE, 0);
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> next = rows(s, faults);
        faults.addAll(s.finish());
        if (!faults.isEmpty()) {
            return new Bad(faults);
        }
        final Map<String, Value.Row> old = rows(now, new ArrayList<>());
        final List<String> lines = new ArrayList<>();
        old.forEach((k, r) -> {
            if (!next.containsKey(k)) {
                lines.add("- " + r.tenant() + " " + r.kind());
            }
        });
        next.forEach((k, r) -> {
            if (!old.containsKey(k)) {
                lines.add("+ " + r.tenant() + " " + r.kind());
                return;
            }
            TableRules.FIELDS.stream()
                    .filter(f -> !TableRules.cellText(old.get(k), f).equals(TableRules.cellText(r, f)))
                    .forEach(f -> lines.add("  " + r.tenant() + " " + r.kind() + " " + f + ": "
                            + TableRules.cellText(old.get(k), f) + " -> " + TableRules.cellText(r, f)));
        });
        return new Good(lines, now.integer("sequence", 0, Long.MAX_VALUE));
    }

    private static Map<String, Value.Row> rows(final JsonDocument s, final List<String> faults) {
        final Map<String, Value.Row> rows = new TreeMap<>();
        final List<JsonDocument> all = s.objects("rows", StateMachine.MAX_ROWS + 1);
        for (int i = 0; i < all.size(); i++) {
            final Value.Row r = Rows.read(all.get(i));
            all.get(i).finish();
            final String at = "$.rows[" + i + "].";
            TableRules.faults(r).forEach(f -> faults.add(at + f));
            if (rows.containsKey(StateMachine.rowKey(r.tenant(), r.kind()))) {
                faults.add(at + "kind: a second row for " + r.tenant() + " and " + r.kind());
            }
            rows.put(StateMachine.rowKey(r.tenant(), r.kind()), r);
        }
        return rows;
    }
}
