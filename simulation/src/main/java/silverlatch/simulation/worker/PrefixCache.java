package silverlatch.simulation.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefixes that a worker has in its KV cache, by their digests; the one that was used longest ago is evicted first. */
public final class PrefixCache {
    private final int capacity;
    private final Map<Long, Boolean> used = new LinkedHashMap<>(16, 0.75f, true);

    /** A cache of so many digests, empty at first. */
    public PrefixCache(final int capacity) {
        this.capacity = capacity;
    }

    /** Takes in the digests of a prompt's prefix; gives how many of them weren't there. */
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

    /** What is cached, the digest that was used longest ago first. */
    public List<Long> digests() {
        return new ArrayList<>(used.keySet());
    }

    /** Forgets everything. */
    public void clear() {
        used.clear();
    }
}
