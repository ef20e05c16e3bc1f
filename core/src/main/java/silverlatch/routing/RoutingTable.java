package silverlatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.state.Policy;
import silverlatch.state.RouteHosts;
import silverlatch.state.Value;

/** The routes, backend pools and access rules of one revision, with lookup by host and path. Immutable. */
final class RoutingTable {
    /** The table of a gateway without a configuration. */
    static final RoutingTable NONE = new RoutingTable(Policy.NONE);

    /** The routes by normalized host, those with the longest path prefix first. */
    private final Map<String, List<Value.Route>> routesByHost = new HashMap<>();

    private final Map<String, Value.BackendPool> pools = new HashMap<>();
    private final Optional<Value.RoutingConfiguration> limits;
    private final AccessTable access;

    RoutingTable(final Policy policy) {
        Optional<Value.RoutingConfiguration> configuration = Optional.empty();
        for (final Value value : policy.valuesExceptTenants().toList()) {
            if (value instanceof Value.Route route) {
                routesByHost
                        .computeIfAbsent(RouteHosts.normalized(route.host()), host -> new ArrayList<>())
                        .add(route);
            } else if (value instanceof Value.BackendPool pool) {
                pools.put(pool.name(), pool);
            } else if (value instanceof Value.RoutingConfiguration found) {
                configuration = Optional.of(found);
            }
        }
        limits = configuration;
        access = new AccessTable(policy);
        final Comparator<Value.Route> longestPathFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(routes -> routes.sort(longestPathFirst));
    }

    /** Returns the route of the host with the longest prefix of the path. The port of the host is ignored. */
    Optional<Value.Route> route(final String host, final String path) {
        final List<Value.Route> routes = routesByHost.getOrDefault(RouteHosts.normalized(host), List.of());
        return routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns a backend pool by name. */
    Optional<Value.BackendPool> pool(final String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /** Returns the number of the configuration, or 0 if there is none. */
    long configurationNumber() {
        return limits.map(Value.RoutingConfiguration::number).orElse(0L);
    }

    /** Returns the access rules of the routes. */
    AccessTable access() {
        return access;
    }

    /** Returns the limits on requests and idle connections, if there is a configuration. */
    Optional<Value.RoutingConfiguration> limits() {
        return limits;
    }
}
