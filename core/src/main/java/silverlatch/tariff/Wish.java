package silverlatch.tariff;

import java.util.List;

/** A change someone asks for. A match of -1 asks for no comparison. */
public sealed interface Wish {
    /** The name by which the outcome can be asked for later. */
    String id();

    /** Some cells of the table: row key, field, new value. */
    record Cells(String id, List<Cell> cells, long match) implements Wish {
        /** Copies the cells. */
        public Cells {
            cells = List.copyOf(cells);
        }
    }

    /** A whole new table. */
    record Table(String id, List<Leaf.Row> rows, long match) implements Wish {
        /** Copies the rows. */
        public Table {
            rows = List.copyOf(rows);
        }
    }

    /** A tenant, new or changed. */
    record Person(String id, Leaf.Tenant tenant, long match) implements Wish {
    }

    /** A tenant to be taken away. */
    record Drop(String id, String tenant, long match) implements Wish {
    }

    /** A zone to be emptied or given back. */
    record Zone(String id, String zone, boolean on, long match) implements Wish {
    }

    /** A key to be bound to a ticket. */
    record Hold(String id, String key, String ticket, String carrier, long at) implements Wish {
    }

    /** How a claimed ticket ended. */
    record End(String id, String key, String ticket, String carrier, String state, long at) implements Wish {
    }

    /** Another turn of the glass: claims that have seen enough turns are let go; a duty, fenced by the view's number. */
    record Sweep(String id, long turn, long fence) implements Wish {
    }

    /** A calendar, new or changed. */
    record Diary(String id, Leaf.Calendar calendar, long match) implements Wish {
    }

    /** A calendar to be taken away. */
    record Undiary(String id, String name, long match) implements Wish {
    }

    /** What a calendar asks for; a duty, fenced by the view's number. */
    record Timed(String id, long fence, Wish wish) implements Wish {
    }

    /**
     * A whole new charter: rules, pools and bounds, and the operator's own paper. The match is the number of the charter
     * it builds on, 0 where there is none; a lost race is told with the number in force in place of a sequence.
     */
    record Lay(String id, Leaf.Charter charter, List<Leaf.Rule> rules, List<Leaf.Pool> pools, String paper, long match) implements Wish {
        /** Copies the lists. */
        public Lay {
            rules = List.copyOf(rules);
            pools = List.copyOf(pools);
        }
    }

    /** One cell of the table. */
    record Cell(String tenant, String kind, String field, String value) {
    }
}
