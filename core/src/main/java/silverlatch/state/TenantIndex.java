package silverlatch.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Immutable index of the tenants of a routing configuration, by entry key and by the digests of the tenants' keys. */
final class TenantIndex {
    /** The empty index. */
    static final TenantIndex EMPTY = new TenantIndex(LayeredMap.empty(), LayeredMap.empty());

    private final LayeredMap<Value.TenantAccess> byEntryKey;
    private final LayeredMap<Value.TenantAccess> byKeyDigest;

    private TenantIndex(
            final LayeredMap<Value.TenantAccess> byEntryKey, final LayeredMap<Value.TenantAccess> byKeyDigest) {
        this.byEntryKey = byEntryKey;
        this.byKeyDigest = byKeyDigest;
    }

    /**
     * Returns the index with changes applied: each entry's new tenant, or empty where the entry is deleted. A key may
     * move from one tenant to another within the changes.
     */
    TenantIndex with(final Map<String, Optional<Value.TenantAccess>> changes) {
        final Map<String, Optional<Value.TenantAccess>> digests = new HashMap<>();
        changes.keySet().stream()
                .flatMap(entryKey -> byEntryKey.get(entryKey).stream())
                .flatMap(previous -> previous.keyDigests().stream())
                .forEach(digest -> digests.put(digest, Optional.empty()));
        changes.values().stream()
                .flatMap(Optional::stream)
                .forEach(tenant -> tenant.keyDigests().forEach(digest -> digests.put(digest, Optional.of(tenant))));
        return new TenantIndex(byEntryKey.with(changes), byKeyDigest.with(digests));
    }

    /** Returns the tenant of an entry. */
    Optional<Value.TenantAccess> findByEntryKey(final String entryKey) {
        return byEntryKey.get(entryKey);
    }

    /** Returns the tenant that has a key. */
    Optional<Value.TenantAccess> findByKeyDigest(final String keyDigest) {
        return byKeyDigest.get(keyDigest);
    }

    /** Returns all tenants. */
    Stream<Value.TenantAccess> tenants() {
        return byEntryKey.values();
    }
}
