package silverlatch.server.controller;

import silverlatch.json.JsonDocument;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/** The tenants ({@code /v1/tenants}). Only a hash of a tenant's key is stored. */
final class TenantResource {
    private static final String KEY_PREFIX = "t/";
    private static final int MAX_REGIONS = 64;
    private static final int MAX_REGION_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 256;
    private static final int SALT_LENGTH = 16;
    private final StateApi state;
    private final String clusterKey;

    TenantResource(final StateApi state, final String clusterKey) {
        this.state = state;
        this.clusterKey = clusterKey;
    }

    /** Replies with all tenants. */
    void list(final HttpExchange exchange) {
        state.list(exchange, KEY_PREFIX, "tenants");
    }

    /** Creates or replaces a tenant. */
    void put(final HttpExchange exchange, final String name) {
        state.parseBody(exchange).ifPresent(body -> {
            final Value.Tenant tenant = read(body, name);
            if (!ApiReplies.rejectIfFaulty(exchange, body)) {
                state.write(exchange, (id, expectedRevision) -> new Command.PutTenant(id, tenant, expectedRevision));
            }
        });
    }

    /** Removes a tenant. */
    void remove(final HttpExchange exchange, final String name) {
        state.write(exchange, (id, expectedRevision) -> new Command.RemoveTenant(id, name, expectedRevision));
    }

    private Value.Tenant read(final JsonDocument body, final String name) {
        return new Value.Tenant(
                name,
                body.strings("homes", MAX_REGIONS, MAX_REGION_LENGTH),
                body.number("share", 1),
                Digests.sha256Hex(body.string("key", MAX_KEY_LENGTH)),
                Digests.sha256Hex(clusterKey + "|" + name).substring(0, SALT_LENGTH));
    }
}
