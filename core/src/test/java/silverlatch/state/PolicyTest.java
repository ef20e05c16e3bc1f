package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

/**
 * Guards against differences between a policy that is updated incrementally and the state that it is derived from, in
 * particular when the overlay of changes is merged into the base. Applies random changes and compares with a simple
 * model.
 */
final class PolicyTest {
    private final SplittableRandom random = new SplittableRandom(4);

    @Test
    void incrementalUpdatesGiveTheSamePolicyAsTheFinalState() {
        final StateMachine state = new StateMachine();
        final Map<String, Value> model = new HashMap<>();
        Policy policy = Policy.NONE;
        long revision = 0;
        for (int i = 1; i <= 3_000; i++) {
            final List<Entry> writes = randomWrites(i);
            writes.forEach(write -> applyTo(model, write));
            state.apply(i, writes);
            if (random.nextInt(3) == 0) {
                policy = policy.with(state.policySince(revision));
                revision = state.policyRevision();
            }
        }
        assertEqualsModel(policy.with(state.policySince(revision)), model);
    }

    /** Returns up to 3 writes, or up to 401 for every five hundredth sequence. A quarter of them are deletions. */
    private List<Entry> randomWrites(final int sequence) {
        final List<Entry> writes = new ArrayList<>();
        for (int k = 0; k < 1 + (sequence % 500 == 0 ? 400 : random.nextInt(3)); k++) {
            final Entry write = randomWrite(sequence);
            writes.removeIf(earlier -> earlier.key().equals(write.key()));
            writes.add(write);
        }
        return writes;
    }

    private Entry randomWrite(final int sequence) {
        final int number = random.nextInt(600);
        final boolean isZone = number % 7 == 0;
        final String key = isZone ? "z/zone" + number : StateMachine.rowKey("*", "kind" + number);
        final Value value = isZone
                ? new Value.Evacuation("zone" + number, random.nextBoolean(), new Stamp(sequence))
                : TableRules.defaultRow("*", "kind" + number);
        final boolean deleted = random.nextInt(4) == 0;
        return new Entry(key, sequence, deleted ? List.of() : List.of(value));
    }

    @Test
    void everyKeyIsFoundUnderItsTenantAfterKeysMoveBetweenTenants() {
        final int[] tenantOfKey = new int[500];
        Policy policy = Policy.NONE;
        for (int step = 1; step <= 200; step++) {
            final Set<Integer> changed = new HashSet<>();
            for (int move = 0; move < (step % 50 == 0 ? 400 : 3); move++) {
                final int key = random.nextInt(tenantOfKey.length);
                changed.add(tenantOfKey[key]);
                tenantOfKey[key] = random.nextInt(60);
                changed.add(tenantOfKey[key]);
            }
            policy = policy.with(
                    changed.stream().map(tenant -> tenant(tenant, tenantOfKey)).toList());
            for (int key = 0; key < tenantOfKey.length; key++) {
                final Optional<String> expected = Optional.of(tenantOfKey[key])
                        .filter(tenant -> tenant > 0)
                        .map(tenant -> "t" + tenant);
                assertThat(policy.tenantOfKey("d" + key).map(Value.TenantAccess::name), is(expected));
            }
        }
        assertThat(policy.values().count() <= 59, is(true));
    }

    /**
     * Returns the entry of a tenant with its keys. It is deleted if the tenant has no keys; a key of tenant 0 belongs
     * to no tenant.
     */
    private static Entry tenant(final int tenant, final int[] tenantOfKey) {
        final List<String> digests = new ArrayList<>();
        for (int key = 0; key < tenantOfKey.length; key++) {
            if (tenantOfKey[key] == tenant) {
                digests.add("d" + key);
            }
        }
        final Value.TenantAccess value =
                new Value.TenantAccess("t" + tenant, digests, Value.TenantAccess.ROUTE_PRIORITY, List.of());
        return new Entry("n/t" + tenant, 1, digests.isEmpty() || tenant == 0 ? List.of() : List.of(value));
    }

    private static void applyTo(final Map<String, Value> model, final Entry write) {
        if (write.isDeleted()) {
            model.remove(write.key());
        } else {
            model.put(write.key(), write.value().get(0));
        }
    }

    private static void assertEqualsModel(final Policy policy, final Map<String, Value> model) {
        model.forEach((key, value) -> assertThat(key, policy.value(key), is(Optional.of(value))));
        assertThat(policy.values().count(), is((long) model.size()));
        assertThat(
                policy.evacuatedZones(),
                is(model.values().stream()
                        .filter(value -> value instanceof Value.Evacuation evacuation && evacuation.active())
                        .map(value -> ((Value.Evacuation) value).zone())
                        .collect(Collectors.toSet())));
        assertThat(policy.evacuations().size(), is((int)
                model.keySet().stream().filter(key -> key.startsWith("z/")).count()));
    }
}
