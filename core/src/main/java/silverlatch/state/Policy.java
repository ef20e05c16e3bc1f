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
 * What the data plane follows, as one immutable value that event loops hand to each other. A step to a newer revision
 * costs what changed, not what there is: changes are kept in an overlay, which is merged into the base when it is large.
 */
public final class Policy {
    /** The policy without any entry. */
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

    /** The policy after changes; a deleted entry removes its value. */
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
        changes.stream().filter(e -> e.key().startsWith(EntryKeys.EVACUATIONS)).forEach(e -> {
            updatedEvacuations.removeIf(d -> d.zone().equals(e.key().substring(EntryKeys.EVACUATIONS.length())));
            e.value().forEach(l -> updatedEvacuations.add((Value.Evacuation) l));
        });
        return compacts
                ? new Policy(updated, Map.of(), List.copyOf(updatedEvacuations))
                : new Policy(base, updated, List.copyOf(updatedEvacuations));
    }

    /** The value of a key. */
    public Optional<Value> value(final String key) {
        return Optional.ofNullable(overlay.get(key))
                .or(() -> Optional.ofNullable(base.get(key)))
                .flatMap(e -> e.value().stream().findFirst());
    }

    /** The evacuations, active or ended, one a zone. */
    public List<Value.Evacuation> evacuations() {
        return evacuations;
    }

    /** The zones that are being evacuated. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** All values. */
    public Stream<Value> values() {
        return Stream.concat(
                        overlay.values().stream(), base.values().stream().filter(e -> !overlay.containsKey(e.key())))
                .flatMap(e -> e.value().stream());
    }
}
