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

/** The routes and backend pools of one revision, found by host and path, and who may use them. Immutable. */
final class RoutingTable {
    /** The table of a gateway that knows no configuration. */
    static final RoutingTable NONE = new RoutingTable(Policy.NONE);

    /** Routes by host in lower case, those with the longest path first. */
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

    /** The route of the host, whose port doesn't count, with the longest path that the path begins with. */
    Optional<Value.Route> route(final String host, final String path) {
        final List<Value.Route> routes = routesByHost.getOrDefault(RouteHosts.normalized(host), List.of());
        return routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** A backend pool by name. */
    Optional<Value.BackendPool> pool(final String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /** The number of the configuration, or 0 where there is none. */
    long configurationNumber() {
        return limits.map(Value.RoutingConfiguration::number).orElse(0L);
    }

    /** Who may use the routes. */
    AccessTable access() {
        return access;
    }

    /** What clients may send and how long they may idle. */
    Optional<Value.RoutingConfiguration> limits() {
        return limits;
    }
}
