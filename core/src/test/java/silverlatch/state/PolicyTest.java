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
        final SplittableRandom luck = new SplittableRandom(4);
        final StateMachine books = new StateMachine();
        final Map<String, Value> model = new HashMap<>();
        Policy policy = Policy.NONE;
        long page = 0;
        for (int i = 1; i <= 3_000; i++) {
            final List<Entry> puts = new ArrayList<>();
            for (int k = 0; k < 1 + (i % 500 == 0 ? 400 : luck.nextInt(3)); k++) {
                final int n = luck.nextInt(600);
                final boolean zone = n % 7 == 0;
                final String key = zone ? "z/zone" + n : StateMachine.row("*", "kind" + n);
                final Value leaf = zone
                        ? new Value.Evacuation("zone" + n, luck.nextBoolean(), new Stamp(i))
                        : TableRules.plain("*", "kind" + n);
                final boolean gone = luck.nextInt(4) == 0;
                puts.removeIf(e -> e.key().equals(key));
                puts.add(new Entry(key, i, gone ? List.of() : List.of(leaf)));
            }
            puts.forEach(e -> {
                if (e.gone()) {
                    model.remove(e.key());
                } else {
                    model.put(e.key(), e.leaf().get(0));
                }
            });
            books.apply(i, puts);
            if (luck.nextInt(3) == 0) {
                policy = policy.with(books.since(page));
                page = books.page();
            }
        }
        final Policy last = policy.with(books.since(page));
        model.forEach((k, l) -> assertThat(k, last.leaf(k), is(Optional.of(l))));
        assertThat(last.leaves().count(), is((long) model.size()));
        assertThat(
                last.empty(),
                is(model.values().stream()
                        .filter(l -> l instanceof Value.Evacuation d && d.on())
                        .map(l -> ((Value.Evacuation) l).zone())
                        .collect(Collectors.toSet())));
        assertThat(last.drains().size(), is((int)
                model.keySet().stream().filter(k -> k.startsWith("z/")).count()));
    }
}
