package silverlatch.state;

import java.util.List;

/**
 * One entry of the state. A deleted entry has no value: it is a write that deletes its key, or the tombstone that such
 * a write leaves.
 *
 * @param key      its key; {@link EntryKeys} defines the prefixes
 * @param sequence the sequence of the change that wrote it
 * @param value    its value as a list of one, or an empty list if it is deleted
 */
public record Entry(String key, long sequence, List<Value> value) {
    private static final long BASE_BYTES = 96;
    private static final long VALUE_BYTES = 160;
    private static final long COUNT_BYTES = 32;
    private static final long TENANT_ACCESS_BYTES = 24;
    private static final long KEY_DIGEST_BYTES = 72;
    private static final List<String> POLICY_PREFIXES = List.of(
            EntryKeys.TENANTS,
            EntryKeys.ROWS,
            EntryKeys.EVACUATIONS,
            ConfigurationValidator.ROUTE_PREFIX,
            ConfigurationValidator.POOL_PREFIX,
            EntryKeys.TENANT_ACCESS,
            EntryKeys.PUBLIC_ROUTES,
            EntryKeys.CONFIGURATION_PREFIX);

    /** Copies the list, which has one element at most. */
    public Entry {
        value = List.copyOf(value);
        if (value.size() > 1) {
            throw new IllegalArgumentException("an entry holds one value at most");
        }
    }

    /** Returns whether the entry is deleted. */
    public boolean isDeleted() {
        return value.isEmpty();
    }

    /** Returns whether the entry is policy, i.e. part of what gateways receive and act on. */
    public boolean isPolicy() {
        return POLICY_PREFIXES.stream().anyMatch(key::startsWith);
    }

    /** Returns the estimated size of the entry in a frame, in bytes. */
    public long estimatedBytes() {
        return BASE_BYTES
                + key.length()
                + value.stream().mapToLong(Entry::estimatedBytes).sum();
    }

    private static long estimatedBytes(final Value value) {
        return switch (value) {
            case Value.ConfigurationDocument document -> 2L * document.text().length();
            case Value.Route route -> estimatedBytes(route);
            case Value.Schedule schedule -> 96L * (1 + schedule.cells().size());
            case Value.CommandOutcome outcome ->
                32 + outcome.faults().stream().mapToLong(String::length).sum();
            case Value.Tenant tenant -> VALUE_BYTES + 32L * tenant.homeRegions().size();
            case Value.TenantAccess tenant -> estimatedBytes(tenant);
            case Value.UsageWindow window ->
                VALUE_BYTES + COUNT_BYTES * window.counts().size();
            default -> VALUE_BYTES;
        };
    }

    private static long estimatedBytes(final Value.TenantAccess tenant) {
        return TENANT_ACCESS_BYTES
                + tenant.name().length()
                + KEY_DIGEST_BYTES * tenant.keyDigests().size()
                + tenant.homeRegions().stream()
                        .mapToLong(region -> 16 + region.length())
                        .sum();
    }

    private static long estimatedBytes(final Value.Route route) {
        return 128
                + route.name().length()
                + route.host().length()
                + route.pathPrefix().length()
                + 32L * route.homeRegions().size()
                + 48L * route.backends().size();
    }
}
