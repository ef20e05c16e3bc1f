package silverlatch.state;

import java.util.List;

/**
 * A client's request to change the state. It is sent to the head of the chain. The same command may arrive several
 * times and takes effect once, as duplicates are recognized by its id.
 *
 * <p>A command with an expected revision takes effect only while that is the current one (optimistic concurrency
 * control). The current revision is the newest sequence that wrote a row for {@link PatchTable} and {@link PutTable},
 * the number in force for {@link PutConfiguration}, and otherwise the sequence that last wrote the command's entry. An
 * expected revision of -1 disables the check.
 *
 * <p>Commands with a fencing token are sent by the owner of the singleton role: the one member of the chain that does
 * the cluster's periodic work. The token is the number of the view in which it owns the role.
 */
public sealed interface Command {
    /** Returns the id by which duplicates are recognized and under which the outcome can be queried later. */
    String id();

    /**
     * A command on an entry, or on the table, that may expect the revision on which it is applied. A caller that has no
     * revision of its own gives {@link #LATEST}.
     */
    sealed interface Revisioned extends Command {
        /**
         * Expected revision of a command that is applied on top of the newest change, whichever that is. The client that
         * sends it learns the newest revision during the call and then expects it. A copy that arrives after the call,
         * when another command has taken effect, is therefore rejected and has no effect.
         */
        long LATEST = -2;

        /** Returns the revision on which the command is applied, {@link #LATEST}, or -1 for any. */
        long expectedRevision();

        /** Returns a copy of the command with another expected revision. */
        Revisioned withExpectedRevision(long revision);

        /** Returns whether a command is applied on top of the newest change, whichever that is. */
        static boolean isOnLatest(final Command command) {
            return command instanceof Revisioned revisioned && revisioned.expectedRevision() == LATEST;
        }
    }

    /** Sets individual cells of the table. */
    record PatchTable(String id, List<Cell> cells, long expectedRevision) implements Revisioned {
        /** Copies the cells. */
        public PatchTable {
            cells = List.copyOf(cells);
        }

        @Override
        public PatchTable withExpectedRevision(final long revision) {
            return new PatchTable(id, cells, revision);
        }
    }

    /** Replaces all rows of the table. */
    record PutTable(String id, List<Value.Row> rows, long expectedRevision) implements Revisioned {
        /** Copies the rows. */
        public PutTable {
            rows = List.copyOf(rows);
        }

        @Override
        public PutTable withExpectedRevision(final long revision) {
            return new PutTable(id, rows, revision);
        }
    }

    /** Creates or replaces a tenant. */
    record PutTenant(String id, Value.Tenant tenant, long expectedRevision) implements Revisioned {
        @Override
        public PutTenant withExpectedRevision(final long revision) {
            return new PutTenant(id, tenant, revision);
        }
    }

    /** Deletes a tenant. */
    record RemoveTenant(String id, String tenant, long expectedRevision) implements Revisioned {
        @Override
        public RemoveTenant withExpectedRevision(final long revision) {
            return new RemoveTenant(id, tenant, revision);
        }
    }

    /** Begins or ends the evacuation of a zone. */
    record SetEvacuation(String id, String zone, boolean active, long expectedRevision) implements Revisioned {
        @Override
        public SetEvacuation withExpectedRevision(final long revision) {
            return new SetEvacuation(id, zone, active, revision);
        }
    }

    /**
     * Binds a client's idempotency key to a request. {@code claimedAt} is the bits of the stamp with which the request
     * arrived.
     */
    record Claim(String id, String key, String requestId, String gatewayId, long claimedAt) implements Command {}

    /** Sets the final state of a request's claim. {@code claimedAt} is that of the claim. */
    record CompleteClaim(String id, String key, String requestId, String gatewayId, String state, long claimedAt)
            implements Command {}

    /**
     * Advances the epoch by one and deletes expired claims. Sent by the owner of the singleton role, with its fencing
     * token.
     */
    record AdvanceEpoch(String id, long epoch, long fencingToken) implements Command {}

    /** Creates or replaces a schedule. */
    record PutSchedule(String id, Value.Schedule schedule, long expectedRevision) implements Revisioned {
        @Override
        public PutSchedule withExpectedRevision(final long revision) {
            return new PutSchedule(id, schedule, revision);
        }
    }

    /** Deletes a schedule. */
    record RemoveSchedule(String id, String name, long expectedRevision) implements Revisioned {
        @Override
        public RemoveSchedule withExpectedRevision(final long revision) {
            return new RemoveSchedule(id, name, revision);
        }
    }

    /**
     * Executes a command that is due by a schedule. Sent by the owner of the singleton role, with its fencing token.
     */
    record Scheduled(String id, long fencingToken, Command command) implements Command {}

    /**
     * Replaces the routing configuration: routes, pools, limits, and the document as the operator wrote it. The
     * expected revision is the number of the configuration that this one builds on, 0 if there is none. A conflict is
     * answered with the number in force instead of a sequence.
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
     * Replaces the routing configuration, including the parts that were added in a later version. A configuration
     * without any of these parts is sent as a {@link PutConfiguration}, which older versions understand too.
     *
     * @param base         the part that older versions understand; its id and its expected revision are those of this
     *                     command
     * @param keysRequired whether requests need keys, see {@link Value.AccessControl}
     * @param tenants      the tenants whose keys are accepted
     * @param publicRoutes the routes on which no key is needed
     * @param scalings     the limits for pools whose number of workers may be changed
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

        /** Returns a configuration without any of the parts that were added later. */
        public static PutFullConfiguration of(final PutConfiguration base) {
            return new PutFullConfiguration(base, false, List.of(), List.of(), List.of());
        }

        @Override
        public String id() {
            return base.id();
        }

        /** Returns the same configuration under another id and with another expected revision. */
        public PutFullConfiguration with(final String id, final long expectedRevision) {
            return new PutFullConfiguration(
                    new PutConfiguration(
                            id, base.configuration, base.routes, base.pools, base.document, expectedRevision),
                    keysRequired,
                    tenants,
                    publicRoutes,
                    scalings);
        }

        /**
         * Returns the command to send: {@link #base}, which older versions understand, if there is nothing else in this
         * command, otherwise this command.
         */
        public Command toCompatibleCommand() {
            return equals(of(base)) ? base : this;
        }
    }

    /**
     * Closes a usage window. The counts of the first command that is accepted for a window are final. Sent by the owner
     * of the singleton role, with its fencing token.
     */
    record CloseUsageWindow(String id, long fencingToken, Value.UsageWindow window) implements Command {}

    /**
     * Records that the provider has received the usage of a window and of all closed windows before it, so that the
     * next owner of the singleton role doesn't report them again. The recorded window number never decreases. Sent by
     * the owner of the singleton role, with its fencing token.
     */
    record MarkUsageReported(String id, long fencingToken, long window) implements Command {}

    /** New value of one cell of the table, as text. */
    record Cell(String tenant, String kind, String field, String value) {}
}
