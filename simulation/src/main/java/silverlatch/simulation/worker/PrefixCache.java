package silverlatch.simulation.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefixes in a worker's KV cache, identified by their digests. The least recently used one is evicted first. */
public final class PrefixCache {
    private final int capacity;
    private final Map<Long, Boolean> used = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty cache for up to {@code capacity} digests. */
    public PrefixCache(final int capacity) {
        this.capacity = capacity;
    }

    /** Adds the digests of a prompt's prefix and returns how many of them weren't cached. */
    public long admit(final List<Long> prefixDigests) {
        final long missing = prefixDigests.stream()
                .filter(digest -> !used.containsKey(digest))
                .count();
        prefixDigests.forEach(digest -> used.put(digest, true));
        while (used.size() > capacity) {
            used.remove(used.keySet().iterator().next());
        }
        return missing;
    }

    /** Returns the cached digests, the least recently used one first. */
    public List<Long> digests() {
        return new ArrayList<>(used.keySet());
    }

    /** Removes all digests. */
    public void clear() {
        used.clear();
    }
}
