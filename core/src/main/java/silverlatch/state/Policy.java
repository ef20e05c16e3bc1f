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
 * The policy entries of the state (see {@link Entry#isPolicy}), which gateways act on, as one immutable value that
 * event loops can share. The cost of deriving a newer revision depends on the size of the change, not of the policy.
 * Tenants of the routing configuration have an index of their own, since there may be tens of thousands of them and
 * they are looked up by their keys.
 */
public final class Policy {
    /** The empty policy. */
    public static final Policy NONE = new Policy(LayeredMap.empty(), TenantIndex.EMPTY, List.of());

    private final LayeredMap<Value> values;
    private final TenantIndex tenants;
    private final List<Value.Evacuation> evacuations;
    private final Set<String> evacuatedZones;

    private Policy(
            final LayeredMap<Value> values, final TenantIndex tenants, final List<Value.Evacuation> evacuations) {
        this.values = values;
        this.tenants = tenants;
        this.evacuations = evacuations;
        this.evacuatedZones = evacuations.stream()
                .filter(Value.Evacuation::active)
                .map(Value.Evacuation::zone)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns a policy with these entries. */
    public static Policy of(final Collection<Entry> entries) {
        return NONE.with(entries);
    }

    /** Returns the policy with changes applied. A deleted entry removes its value. */
    public Policy with(final Collection<Entry> changes) {
        final Map<String, Optional<Value.TenantAccess>> changedTenants = new HashMap<>();
        final Map<String, Optional<Value>> changedValues = new HashMap<>();
        final List<Value.Evacuation> updatedEvacuations = new ArrayList<>(evacuations);
        for (final Entry change : changes) {
            final Optional<Value> value = change.value().stream().findFirst();
            if (change.key().startsWith(EntryKeys.TENANT_ACCESS)) {
                changedTenants.put(change.key(), value.map(Value.TenantAccess.class::cast));
            } else {
                changedValues.put(change.key(), value);
            }
            if (change.key().startsWith(EntryKeys.EVACUATIONS)) {
                final String zone = change.key().substring(EntryKeys.EVACUATIONS.length());
                updatedEvacuations.removeIf(evacuation -> evacuation.zone().equals(zone));
                value.map(Value.Evacuation.class::cast).ifPresent(updatedEvacuations::add);
            }
        }
        return new Policy(values.with(changedValues), tenants.with(changedTenants), List.copyOf(updatedEvacuations));
    }

    /** Returns the value of an entry's key. */
    public Optional<Value> value(final String key) {
        return values.get(key).or(() -> tenants.findByEntryKey(key));
    }

    /** Returns the tenant of the routing configuration that has a key, given as its SHA-256 in hexadecimal. */
    public Optional<Value.TenantAccess> tenantOfKey(final String keyDigest) {
        return tenants.findByKeyDigest(keyDigest);
    }

    /** Returns the evacuations, one for each zone, including those that have ended. */
    public List<Value.Evacuation> evacuations() {
        return evacuations;
    }

    /** Returns the zones that are being evacuated. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** Returns all values. */
    public Stream<Value> values() {
        return Stream.concat(valuesExceptTenants(), tenants.tenants());
    }

    /** Returns all values except the tenants of the routing configuration. */
    public Stream<Value> valuesExceptTenants() {
        return values.values();
    }
}
