package silverlatch.routing;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** The access rules of one revision: the tenants by their keys, and the routes that need no key. Immutable. */
final class AccessTable {
    private final Policy policy;
    private final Set<Value.PublicRoute> publicRoutes = new HashSet<>();
    private final boolean keysRequired;

    AccessTable(final Policy policy) {
        this.policy = policy;
        boolean required = false;
        for (final Value value : policy.valuesExceptTenants().toList()) {
            if (value instanceof Value.PublicRoute route) {
                publicRoutes.add(publicRoute(route.host(), route.pathPrefix()));
            } else if (value instanceof Value.AccessControl access) {
                required = access.keysRequired();
            }
        }
        keysRequired = required;
    }

    /** Returns whether requests need keys, except on public routes. */
    boolean areKeysRequired() {
        return keysRequired;
    }

    /** Returns the tenant of a key, given the key's digest. */
    Optional<Value.TenantAccess> tenant(final String keyDigest) {
        return policy.tenantOfKey(keyDigest);
    }

    /** Returns whether a route needs no key. */
    boolean isPublic(final Value.Route route) {
        return publicRoutes.contains(publicRoute(route.host(), route.pathPrefix()));
    }

    /** Normalizes the host, as letter case is insignificant in hosts. */
    private static Value.PublicRoute publicRoute(final String host, final String pathPrefix) {
        return new Value.PublicRoute(host.toLowerCase(Locale.ROOT), pathPrefix);
    }
}
