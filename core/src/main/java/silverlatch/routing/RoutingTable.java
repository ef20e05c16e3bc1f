package silverlatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** The rules and pools of one page, found by host and path. */
final class RoutingTable {
    static final RoutingTable NONE = new RoutingTable(Policy.NONE);
    private final Map<String, List<Value.Route>> routesByHost = new HashMap<>();
    private final Map<String, Value.BackendPool> pools = new HashMap<>();
    private Optional<Value.RoutingConfiguration> limits = Optional.empty();

    RoutingTable(final Policy policy) {
        policy.values().forEach(l -> {
            switch (l) {
                case Value.Route r ->
                    routesByHost
                            .computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                            .add(r);
                case Value.BackendPool p -> pools.put(p.name(), p);
                case Value.RoutingConfiguration c -> limits = Optional.of(c);
                default -> {}
            }
        });
        routesByHost
                .values()
                .forEach(l -> l.sort(Comparator.comparingInt(
                        (Value.Route r) -> -r.pathPrefix().length())));
    }

    Optional<Value.Route> route(final String host, final String path) {
        final int colon = host.lastIndexOf(':');
        final String name =
                (colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
        return Optional.ofNullable(routesByHost.get(name))
                .flatMap(l ->
                        l.stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst());
    }

    Optional<Value.BackendPool> pool(final String name) {
        return Optional.ofNullable(pools.get(name));
    }

    long configurationNumber() {
        return limits.map(Value.RoutingConfiguration::number).orElse(0L);
    }

    Optional<Value.RoutingConfiguration> limits() {
        return limits;
    }
}
