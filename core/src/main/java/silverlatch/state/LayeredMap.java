package silverlatch.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Immutable map with string keys. The cost of deriving an updated map depends on the size of the change, not of the
 * map: changes are collected in an overlay, which is merged into the base once it exceeds {@link #MAX_OVERLAY_ENTRIES}.
 */
final class LayeredMap<V> {
    private static final int MAX_OVERLAY_ENTRIES = 256;
    private final Map<String, V> base;
    /** Changes to the base by key; an empty value means that the base's value is removed. */
    private final Map<String, Optional<V>> overlay;

    private LayeredMap(final Map<String, V> base, final Map<String, Optional<V>> overlay) {
        this.base = base;
        this.overlay = overlay;
    }

    /** Returns an empty map. */
    static <V> LayeredMap<V> empty() {
        return new LayeredMap<>(Map.of(), Map.of());
    }

    /** Returns the map with changes applied: the new value of each key, or empty to remove the key. */
    LayeredMap<V> with(final Map<String, Optional<V>> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        if (overlay.size() + changes.size() <= MAX_OVERLAY_ENTRIES) {
            final Map<String, Optional<V>> updated = new HashMap<>(overlay);
            updated.putAll(changes);
            return new LayeredMap<>(base, updated);
        }
        final Map<String, V> merged = new HashMap<>(base);
        apply(overlay, merged);
        apply(changes, merged);
        return new LayeredMap<>(merged, Map.of());
    }

    private static <V> void apply(final Map<String, Optional<V>> changes, final Map<String, V> map) {
        changes.forEach((key, change) -> change.ifPresentOrElse(value -> map.put(key, value), () -> map.remove(key)));
    }

    /** Returns the value of a key. */
    Optional<V> get(final String key) {
        final Optional<V> changed = overlay.get(key);
        return changed != null ? changed : Optional.ofNullable(base.get(key));
    }

    /** Returns all values. */
    Stream<V> values() {
        return Stream.concat(
                overlay.values().stream().flatMap(Optional::stream),
                base.entrySet().stream()
                        .filter(entry -> !overlay.containsKey(entry.getKey()))
                        .map(Map.Entry::getValue));
    }
}
