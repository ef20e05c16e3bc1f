package silverlatch.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * An immutable map by text. A step to a newer one costs what changes, not what there is: changes are kept in an overlay, which is
 * merged into the base when it is large.
 */
final class LayeredMap<V> {
    private static final int MAX_OVERLAY_ENTRIES = 256;
    private final Map<String, V> base;
    /** What differs from the base; nothing where the base's value was removed. */
    private final Map<String, Optional<V>> overlay;

    private LayeredMap(final Map<String, V> base, final Map<String, Optional<V>> overlay) {
        this.base = base;
        this.overlay = overlay;
    }

    /** A map without any value. */
    static <V> LayeredMap<V> empty() {
        return new LayeredMap<>(Map.of(), Map.of());
    }

    /** The map after changes: the new value of each key, or nothing where it is removed. */
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

    /** The value of a key. */
    Optional<V> get(final String key) {
        final Optional<V> changed = overlay.get(key);
        return changed != null ? changed : Optional.ofNullable(base.get(key));
    }

    /** All values. */
    Stream<V> values() {
        return Stream.concat(
                overlay.values().stream().flatMap(Optional::stream),
                base.entrySet().stream()
                        .filter(entry -> !overlay.containsKey(entry.getKey()))
                        .map(Map.Entry::getValue));
    }
}
