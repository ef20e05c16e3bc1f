package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

final class PolicyTest {
    @Test
    void manySmallStepsGiveTheSameAsOneLargeStep() {
        final SplittableRandom random = new SplittableRandom(4);
        final StateMachine state = new StateMachine();
        final Map<String, Value> model = new HashMap<>();
        Policy policy = Policy.NONE;
        long revision = 0;
        for (int i = 1; i <= 3_000; i++) {
            final List<Entry> writes = new ArrayList<>();
            for (int k = 0; k < 1 + (i % 500 == 0 ? 400 : random.nextInt(3)); k++) {
                final int number = random.nextInt(600);
                final boolean isZone = number % 7 == 0;
                final String key = isZone ? "z/zone" + number : StateMachine.rowKey("*", "kind" + number);
                final Value value = isZone
                        ? new Value.Evacuation("zone" + number, random.nextBoolean(), new Stamp(i))
                        : TableRules.defaultRow("*", "kind" + number);
                final boolean deleted = random.nextInt(4) == 0;
                writes.removeIf(e -> e.key().equals(key));
                writes.add(new Entry(key, i, deleted ? List.of() : List.of(value)));
            }
            writes.forEach(e -> {
                if (e.isDeleted()) {
                    model.remove(e.key());
                } else {
                    model.put(e.key(), e.value().get(0));
                }
            });
            state.apply(i, writes);
            if (random.nextInt(3) == 0) {
                policy = policy.with(state.policySince(revision));
                revision = state.policyRevision();
            }
        }
        final Policy last = policy.with(state.policySince(revision));
        model.forEach((k, l) -> assertThat(k, last.value(k), is(Optional.of(l))));
        assertThat(last.values().count(), is((long) model.size()));
        assertThat(
                last.evacuatedZones(),
                is(model.values().stream()
                        .filter(l -> l instanceof Value.Evacuation d && d.active())
                        .map(l -> ((Value.Evacuation) l).zone())
                        .collect(Collectors.toSet())));
        assertThat(last.evacuations().size(), is((int)
                model.keySet().stream().filter(k -> k.startsWith("z/")).count()));
    }
}
