package silverlatch.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the data plane follows, as one value that duties hand to each other. A step to a newer page costs what changed,
 * not what there is: a few changes lie over a base, and are worked into it when they are many.
 */
public final class Policy {
    /** Nothing. */
    public static final Policy NONE = new Policy(Map.of(), Map.of(), List.of());

    private static final int FEW = 256;
    private final Map<String, Entry> base;
    private final Map<String, Entry> over;
    private final List<Value.Evacuation> drains;
    private final Set<String> empty;

    private Policy(final Map<String, Entry> base, final Map<String, Entry> over, final List<Value.Evacuation> drains) {
        this.base = base;
        this.over = over;
        this.drains = drains;
        this.empty = drains.stream()
                .filter(Value.Evacuation::on)
                .map(Value.Evacuation::zone)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** A policy of these entries. */
    public static Policy of(final Collection<Entry> all) {
        return NONE.with(all);
    }

    /** The policy after a change; entries that are gone take theirs away. */
    public Policy with(final Collection<Entry> news) {
        final boolean many = over.size() + news.size() > FEW;
        final Map<String, Entry> next = new HashMap<>(many ? base : over);
        if (many) {
            next.putAll(over);
        }
        news.forEach(e -> next.put(e.key(), e));
        if (many) {
            next.values().removeIf(Entry::gone);
        }
        final List<Value.Evacuation> zones = new ArrayList<>(drains);
        news.stream().filter(e -> e.key().startsWith("z/")).forEach(e -> {
            zones.removeIf(d -> d.zone().equals(e.key().substring(2)));
            e.leaf().forEach(l -> zones.add((Value.Evacuation) l));
        });
        return many ? new Policy(next, Map.of(), List.copyOf(zones)) : new Policy(base, next, List.copyOf(zones));
    }

    /** What a key holds. */
    public Optional<Value> leaf(final String key) {
        return Optional.ofNullable(over.get(key))
                .or(() -> Optional.ofNullable(base.get(key)))
                .flatMap(e -> e.leaf().stream().findFirst());
    }

    /** Orders on zones. */
    public List<Value.Evacuation> drains() {
        return drains;
    }

    /** The zones that are being emptied. */
    public Set<String> empty() {
        return empty;
    }

    /** All that is held. */
    public Stream<Value> leaves() {
        return Stream.concat(over.values().stream(), base.values().stream().filter(e -> !over.containsKey(e.key())))
                .flatMap(e -> e.leaf().stream());
    }
}
