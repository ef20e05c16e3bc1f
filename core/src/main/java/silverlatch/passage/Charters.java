package silverlatch.passage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Policy;

/** The rules and pools of one page, found by host and path. */
final class Charters {
    static final Charters NONE = new Charters(Policy.NONE);
    private final Map<String, List<Leaf.Rule>> hosts = new HashMap<>();
    private final Map<String, Leaf.Pool> pools = new HashMap<>();
    private long number;

    Charters(final Policy policy) {
        policy.leaves().forEach(l -> {
            switch (l) {
                case Leaf.Rule r -> hosts.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>()).add(r);
                case Leaf.Pool p -> pools.put(p.name(), p);
                case Leaf.Charter c -> number = c.number();
                default -> {
                }
            }
        });
        hosts.values().forEach(l -> l.sort(Comparator.comparingInt((Leaf.Rule r) -> -r.path().length())));
    }

    Optional<Leaf.Rule> rule(final String host, final String path) {
        final int colon = host.lastIndexOf(':');
        final String name = (colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
        return Optional.ofNullable(hosts.get(name)).flatMap(l -> l.stream().filter(r -> path.startsWith(r.path())).findFirst());
    }

    Optional<Leaf.Pool> pool(final String name) {
        return Optional.ofNullable(pools.get(name));
    }

    long number() {
        return number;
    }
}
