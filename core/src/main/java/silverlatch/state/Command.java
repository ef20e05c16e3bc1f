package silverlatch.state;

import java.util.List;

/** A change someone asks for. A match of -1 asks for no comparison. */
public sealed interface Command {
    /** The name by which the outcome can be asked for later. */
    String id();

    /** Some cells of the table: row key, field, new value. */
    record PatchTable(String id, List<Cell> cells, long match) implements Command {
        /** Copies the cells. */
        public PatchTable {
            cells = List.copyOf(cells);
        }
    }

    /** A whole new table. */
    record PutTable(String id, List<Value.Row> rows, long match) implements Command {
        /** Copies the rows. */
        public PutTable {
            rows = List.copyOf(rows);
        }
    }

    /** A tenant, new or changed. */
    record PutTenant(String id, Value.Tenant tenant, long match) implements Command {}

    /** A tenant to be taken away. */
    record RemoveTenant(String id, String tenant, long match) implements Command {}

    /** A zone to be emptied or given back. */
    record SetEvacuation(String id, String zone, boolean on, long match) implements Command {
        /**
         * The match of an order that is to take effect on top of the newest change of its zone. The client that carries
         * it learns that change's sequence while the call lasts, so a copy that comes after the call, when another order
         * has taken effect, does nothing.
         */
        public static final long LATEST = -2;

        /** The same order on top of a change. */
        public SetEvacuation on(final long sequence) {
            return new SetEvacuation(id, zone, on, sequence);
        }
    }

    /** A key to be bound to a ticket. */
    record Claim(String id, String key, String ticket, String carrier, long at) implements Command {}

    /** How a claimed ticket ended. */
    record CompleteClaim(String id, String key, String ticket, String carrier, String state, long at)
            implements Command {}

    /** Another turn of the glass: claims that have seen enough turns are let go; a duty, fenced by the view's number. */
    record AdvanceEpoch(String id, long turn, long fence) implements Command {}

    /** A calendar, new or changed. */
    record PutSchedule(String id, Value.Schedule calendar, long match) implements Command {}

    /** A calendar to be taken away. */
    record RemoveSchedule(String id, String name, long match) implements Command {}

    /** What a calendar asks for; a duty, fenced by the view's number. */
    record Scheduled(String id, long fence, Command wish) implements Command {}

    /**
     * A whole new charter: rules, pools and bounds, and the operator's own paper. The match is the number of the charter
     * it builds on, 0 where there is none; a lost race is told with the number in force in place of a sequence.
     */
    record PutConfiguration(
            String id,
            Value.RoutingConfiguration charter,
            List<Value.Route> rules,
            List<Value.BackendPool> pools,
            String paper,
            long match)
            implements Command {
        /** Copies the lists. */
        public PutConfiguration {
            rules = List.copyOf(rules);
            pools = List.copyOf(pools);
        }
    }

    /** One cell of the table. */
    record Cell(String tenant, String kind, String field, String value) {}
}
