package silverlatch.state;

import java.util.List;

/** A change someone asks for. A match of -1 asks for no comparison. */
public sealed interface Command {
    /** The name by which the outcome can be asked for later. */
    String id();

    /** Some cells of the table: row key, field, new value. */
    record PatchTable(String id, List<Cell> cells, long expectedRevision) implements Command {
        /** Copies the cells. */
        public PatchTable {
            cells = List.copyOf(cells);
        }
    }

    /** A whole new table. */
    record PutTable(String id, List<Value.Row> rows, long expectedRevision) implements Command {
        /** Copies the rows. */
        public PutTable {
            rows = List.copyOf(rows);
        }
    }

    /** A tenant, new or changed. */
    record PutTenant(String id, Value.Tenant tenant, long expectedRevision) implements Command {}

    /** A tenant to be taken away. */
    record RemoveTenant(String id, String tenant, long expectedRevision) implements Command {}

    /** A zone to be emptied or given back. */
    record SetEvacuation(String id, String zone, boolean active, long expectedRevision) implements Command {
        /**
         * The match of an order that is to take effect on top of the newest change of its zone. The client that carries
         * it learns that change's sequence while the call lasts, so a copy that comes after the call, when another order
         * has taken effect, does nothing.
         */
        public static final long LATEST = -2;

        /** The same order on top of a change. */
        public SetEvacuation active(final long sequence) {
            return new SetEvacuation(id, zone, active, sequence);
        }
    }

    /** A key to be bound to a ticket. */
    record Claim(String id, String key, String requestId, String gatewayId, long claimedAt) implements Command {}

    /** How a claimed ticket ended. */
    record CompleteClaim(String id, String key, String requestId, String gatewayId, String state, long claimedAt)
            implements Command {}

    /** Another turn of the glass: claims that have seen enough turns are let go; a duty, fenced by the view's number. */
    record AdvanceEpoch(String id, long epoch, long fencingToken) implements Command {}

    /** A calendar, new or changed. */
    record PutSchedule(String id, Value.Schedule schedule, long expectedRevision) implements Command {}

    /** A calendar to be taken away. */
    record RemoveSchedule(String id, String name, long expectedRevision) implements Command {}

    /** What a calendar asks for; a duty, fenced by the view's number. */
    record Scheduled(String id, long fencingToken, Command command) implements Command {}

    /**
     * A whole new charter: rules, pools and bounds, and the operator's own paper. The match is the number of the charter
     * it builds on, 0 where there is none; a lost race is told with the number in force in place of a sequence.
     */
    record PutConfiguration(
            String id,
            Value.RoutingConfiguration configuration,
            List<Value.Route> routes,
            List<Value.BackendPool> pools,
            String document,
            long expectedRevision)
            implements Command {
        /** Copies the lists. */
        public PutConfiguration {
            routes = List.copyOf(routes);
            pools = List.copyOf(pools);
        }
    }

    /** One cell of the table. */
    record Cell(String tenant, String kind, String field, String value) {}
}
