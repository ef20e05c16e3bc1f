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

    private static final int MAX_OVERLAY_ENTRIES = 256;
    private final Map<String, Entry> base;
    private final Map<String, Entry> overlay;
    private final List<Value.Evacuation> evacuations;
    private final Set<String> evacuatedZones;

    private Policy(
            final Map<String, Entry> base, final Map<String, Entry> overlay, final List<Value.Evacuation> evacuations) {
        this.base = base;
        this.overlay = overlay;
        this.evacuations = evacuations;
        this.evacuatedZones = evacuations.stream()
                .filter(Value.Evacuation::active)
                .map(Value.Evacuation::zone)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** A policy of these entries. */
    public static Policy of(final Collection<Entry> entries) {
        return NONE.with(entries);
    }

    /** The policy after a change; entries that are gone take theirs away. */
    public Policy with(final Collection<Entry> changes) {
        final boolean compacts = overlay.size() + changes.size() > MAX_OVERLAY_ENTRIES;
        final Map<String, Entry> updated = new HashMap<>(compacts ? base : overlay);
        if (compacts) {
            updated.putAll(overlay);
        }
        changes.forEach(e -> updated.put(e.key(), e));
        if (compacts) {
            updated.values().removeIf(Entry::isDeleted);
        }
        final List<Value.Evacuation> updatedEvacuations = new ArrayList<>(evacuations);
        changes.stream().filter(e -> e.key().startsWith("z/")).forEach(e -> {
            updatedEvacuations.removeIf(d -> d.zone().equals(e.key().substring(2)));
            e.value().forEach(l -> updatedEvacuations.add((Value.Evacuation) l));
        });
        return compacts
                ? new Policy(updated, Map.of(), List.copyOf(updatedEvacuations))
                : new Policy(base, updated, List.copyOf(updatedEvacuations));
    }

    /** What a key holds. */
    public Optional<Value> value(final String key) {
        return Optional.ofNullable(overlay.get(key))
                .or(() -> Optional.ofNullable(base.get(key)))
                .flatMap(e -> e.value().stream().findFirst());
    }

    /** Orders on zones. */
    public List<Value.Evacuation> evacuations() {
        return evacuations;
    }

    /** The zones that are being emptied. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** All that is held. */
    public Stream<Value> values() {
        return Stream.concat(
                        overlay.values().stream(), base.values().stream().filter(e -> !overlay.containsKey(e.key())))
                .flatMap(e -> e.value().stream());
    }
}
