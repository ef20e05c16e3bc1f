package silverlatch.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The tenants of a routing configuration by the keys of their entries, and by the digests of their own keys. Immutable. */
final class TenantIndex {
    /** The index without any tenant. */
    static final TenantIndex EMPTY = new TenantIndex(LayeredMap.empty(), LayeredMap.empty());

    private final LayeredMap<Value.TenantAccess> byEntryKey;
    private final LayeredMap<Value.TenantAccess> byKeyDigest;

    private TenantIndex(
            final LayeredMap<Value.TenantAccess> byEntryKey, final LayeredMap<Value.TenantAccess> byKeyDigest) {
        this.byEntryKey = byEntryKey;
        this.byKeyDigest = byKeyDigest;
    }

    /** The index after changes: each entry's new tenant, or nothing where it is deleted. A key may move between them. */
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

    /** The tenant of an entry. */
    Optional<Value.TenantAccess> findByEntryKey(final String entryKey) {
        return byEntryKey.get(entryKey);
    }

    /** The tenant of a key. */
    Optional<Value.TenantAccess> findByKeyDigest(final String keyDigest) {
        return byKeyDigest.get(keyDigest);
    }

    /** All tenants. */
    Stream<Value.TenantAccess> tenants() {
        return byEntryKey.values();
    }
}
