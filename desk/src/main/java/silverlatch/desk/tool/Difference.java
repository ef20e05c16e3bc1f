package silverlatch.desk.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.desk.harbor.Rows;
import silverlatch.sheet.Sheet;
import silverlatch.tariff.Books;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Tariff;

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
    static Difference between(final Sheet now, final byte[] file) {
        if (!(Sheet.parse(file, 64 << 20) instanceof Sheet.Parsed.Good read)) {
            return new Bad(List.of("$: not JSON"));
        }
        final Sheet s = read.sheet();
        s.whole("sequence", 0, Long.MAX_VALUE, 0);
        final List<String> faults = new ArrayList<>();
        final Map<String, Leaf.Row> next = rows(s, faults);
        faults.addAll(s.end());
        if (!faults.isEmpty()) {
            return new Bad(faults);
        }
        final Map<String, Leaf.Row> old = rows(now, new ArrayList<>());
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
            Tariff.FIELDS.stream().filter(f -> !Tariff.get(old.get(k), f).equals(Tariff.get(r, f))).forEach(f ->
                    lines.add("  " + r.tenant() + " " + r.kind() + " " + f + ": " + Tariff.get(old.get(k), f) + " -> " + Tariff.get(r, f)));
        });
        return new Good(lines, now.whole("sequence", 0, Long.MAX_VALUE));
    }

    private static Map<String, Leaf.Row> rows(final Sheet s, final List<String> faults) {
        final Map<String, Leaf.Row> rows = new TreeMap<>();
        final List<Sheet> all = s.sheets("rows", Books.ROWS + 1);
        for (int i = 0; i < all.size(); i++) {
            final Leaf.Row r = Rows.read(all.get(i));
            all.get(i).end();
            final String at = "$.rows[" + i + "].";
            Tariff.faults(r).forEach(f -> faults.add(at + f));
            if (rows.containsKey(Books.row(r.tenant(), r.kind()))) {
                faults.add(at + "kind: a second row for " + r.tenant() + " and " + r.kind());
            }
            rows.put(Books.row(r.tenant(), r.kind()), r);
        }
        return rows;
    }
}
