package silverlatch.state;

import java.util.List;

/**
 * A change of the state that a client asks for. It is sent to the head of the chain; the same command may come several
 * times and takes effect once, by its id.
 *
 * <p>Commands with an expected revision take effect only while it is the current one (optimistic concurrency control):
 * that of the table for {@link PatchTable} and {@link PutTable}, the number in force for {@link PutConfiguration}, else
 * the sequence that last wrote the entry. -1 asks for no comparison.
 */
public sealed interface Command {
    /** The id by which duplicates are known and the outcome can be asked for later. */
    String id();

    /** Sets some cells of the table. */
    record PatchTable(String id, List<Cell> cells, long expectedRevision) implements Command {
        /** Copies the cells. */
        public PatchTable {
            cells = List.copyOf(cells);
        }
    }

    /** Replaces all rows of the table. */
    record PutTable(String id, List<Value.Row> rows, long expectedRevision) implements Command {
        /** Copies the rows. */
        public PutTable {
            rows = List.copyOf(rows);
        }
    }

    /** Writes a tenant, new or changed. */
    record PutTenant(String id, Value.Tenant tenant, long expectedRevision) implements Command {}

    /** Deletes a tenant. */
    record RemoveTenant(String id, String tenant, long expectedRevision) implements Command {}

    /** Begins or ends the evacuation of a zone. */
    record SetEvacuation(String id, String zone, boolean active, long expectedRevision) implements Command {
        /**
         * The expected revision of a command that is to take effect on top of the newest change of its zone. The client
         * that sends it learns that change's sequence while the call lasts, so a duplicate that comes after the call,
         * when another command has taken effect, does nothing.
         */
        public static final long LATEST = -2;

        /** The same command with another expected revision. */
        public SetEvacuation withExpectedRevision(final long revision) {
            return new SetEvacuation(id, zone, active, revision);
        }
    }

    /** Binds a client's idempotency key to a request; the time is the bits of the stamp that the request came with. */
    record Claim(String id, String key, String requestId, String gatewayId, long claimedAt) implements Command {}

    /** Ends the claim of a request in a state; the time is the one of its claim. */
    record CompleteClaim(String id, String key, String requestId, String gatewayId, String state, long claimedAt)
            implements Command {}

    /**
     * Advances the epoch by one and deletes expired claims. The singleton role's owner sends it; its fencing token is the
     * number of the view.
     */
    record AdvanceEpoch(String id, long epoch, long fencingToken) implements Command {}

    /** Writes a schedule, new or changed. */
    record PutSchedule(String id, Value.Schedule schedule, long expectedRevision) implements Command {}

    /** Deletes a schedule. */
    record RemoveSchedule(String id, String name, long expectedRevision) implements Command {}

    /**
     * A command that is due by a schedule. The singleton role's owner sends it; its fencing token is the number of the
     * view.
     */
    record Scheduled(String id, long fencingToken, Command command) implements Command {}

    /**
     * Replaces the routing configuration: routes, pools and limits, and the document that the operator wrote. The expected
     * revision is the number that it builds on, 0 where there is none; a conflict is replied to with the number in force
     * in place of a sequence.
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

    /**
     * A routing configuration together with the parts that came with a later version; one that has none of them is sent as
     * a {@link PutConfiguration}, which older versions know too.
     *
     * @param base         what older versions know of it; its id and its expected revision are those of this command
     * @param keysRequired whether requests need keys, see {@link Value.AccessControl}
     * @param tenants      the tenants whose keys are accepted
     * @param publicRoutes the routes on which no key is needed
     * @param scalings     the bounds of pools whose number of workers may be set
     */
    record PutFullConfiguration(
            PutConfiguration base,
            boolean keysRequired,
            List<Value.TenantAccess> tenants,
            List<Value.PublicRoute> publicRoutes,
            List<Value.PoolScaling> scalings)
            implements Command {
        /** Copies the lists. */
        public PutFullConfiguration {
            tenants = List.copyOf(tenants);
            publicRoutes = List.copyOf(publicRoutes);
            scalings = List.copyOf(scalings);
        }

        /** A configuration without any of the later parts. */
        public static PutFullConfiguration of(final PutConfiguration base) {
            return new PutFullConfiguration(base, false, List.of(), List.of(), List.of());
        }

        @Override
        public String id() {
            return base.id();
        }

        /** The same configuration under another id, on top of another revision. */
        public PutFullConfiguration with(final String id, final long expectedRevision) {
            return new PutFullConfiguration(
                    new PutConfiguration(
                            id, base.configuration, base.routes, base.pools, base.document, expectedRevision),
                    keysRequired,
                    tenants,
                    publicRoutes,
                    scalings);
        }

        /** The command to be sent: the one that older versions know where that says it all. */
        public Command toCompatibleCommand() {
            return equals(of(base)) ? base : this;
        }
    }

    /**
     * Closes a window of usage, once: the counts of the first command for a window are final. The singleton role's owner sends
     * it; its fencing token is the number of the view.
     */
    record CloseUsageWindow(String id, long fencingToken, Value.UsageWindow window) implements Command {}

    /**
     * Notes that the provider has the usage of a window and of all closed ones before it, so that who owns the singleton role next
     * doesn't report them again. The mark never goes back. The singleton role's owner sends it.
     */
    record MarkUsageReported(String id, long fencingToken, long window) implements Command {}

    /** The new value of one cell of the table, as text. */
    record Cell(String tenant, String kind, String field, String value) {}
}
