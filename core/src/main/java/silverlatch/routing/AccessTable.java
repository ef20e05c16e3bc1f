package silverlatch.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** Who may use the routes of one revision: the tenants by their keys, and the routes on which no key is needed. Immutable. */
final class AccessTable {
    private final Map<String, Value.TenantAccess> tenantsByKeyDigest = new HashMap<>();
    private final Set<Value.PublicRoute> publicRoutes = new HashSet<>();
    private final boolean keysRequired;

    AccessTable(final Policy policy) {
        boolean required = false;
        for (final Value value : (Iterable<Value>) policy.values()::iterator) {
            if (value instanceof Value.TenantAccess tenant) {
                tenant.keyDigests().forEach(digest -> tenantsByKeyDigest.put(digest, tenant));
            } else if (value instanceof Value.PublicRoute route) {
                publicRoutes.add(publicRoute(route.host(), route.pathPrefix()));
            } else if (value instanceof Value.AccessControl access) {
                required = access.keysRequired();
            }
        }
        keysRequired = required;
    }

    /** Whether requests need keys, except on public routes. */
    boolean areKeysRequired() {
        return keysRequired;
    }

    /** The tenant of a key, by the key's digest. */
    Optional<Value.TenantAccess> tenant(final String keyDigest) {
        return Optional.ofNullable(tenantsByKeyDigest.get(keyDigest));
    }

    /** Whether a route needs no key. */
    boolean isPublic(final Value.Route route) {
        return publicRoutes.contains(publicRoute(route.host(), route.pathPrefix()));
    }

    /** Letter case doesn't count in hosts. */
    private static Value.PublicRoute publicRoute(final String host, final String pathPrefix) {
        return new Value.PublicRoute(host.toLowerCase(Locale.ROOT), pathPrefix);
    }
}
