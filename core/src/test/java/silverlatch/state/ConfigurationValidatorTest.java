package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

final class ConfigurationValidatorTest {
    private static final List<Value.BackendPool> POOLS = List.of(pool("warm"), pool("spare"));
    private final StateMachine books = new StateMachine();
    private final Map<String, Entry> overlay = new HashMap<>();
    private long sequence;
    private long id;

    private static Value.BackendPool pool(final String name) {
        return new Value.BackendPool(name, "/health/", 8, 1_000_000, 2, 16, 100_000, 4);
    }

    private static Value.Route rule(
            final String host, final String path, final long hold, final Value.WeightedBackend... lots) {
        return new Value.Route(
                "rule " + host, host, path, true, false, false, true, hold, 0, 0, 0, 1, List.of(), List.of(lots));
    }

    private static Value.Route good(final String host) {
        return rule(host, "/", 1_000, new Value.WeightedBackend("warm", 1));
    }

    private Command.PutConfiguration lay(
            final long number, final List<Value.Route> rules, final List<Value.BackendPool> pools, final long match) {
        return new Command.PutConfiguration(
                "id-" + ++id,
                new Value.RoutingConfiguration(number, 8_192, 1 << 20, 1, 1),
                rules,
                pools,
                "paper " + number + " " + rules.hashCode(),
                match);
    }

    private StateMachine.Judged judge(final Command w) {
        return books.judge(w, overlay, sequence + 1, new Stamp(sequence + 1));
    }

    private List<String> let(final Command w) {
        final StateMachine.Judged.Let let = (StateMachine.Judged.Let) judge(w);
        books.apply(++sequence, let.puts());
        return let.puts().stream()
                .map(e -> (e.gone() ? "-" : "") + e.key())
                .filter(k -> !k.startsWith("o/"))
                .toList();
    }

    private List<String> faults(final Command w) {
        final StateMachine.Judged.Let let = (StateMachine.Judged.Let) judge(w);
        assertThat("nothing but the deed is written", let.puts().size(), is(1));
        final Value.CommandOutcome deed =
                (Value.CommandOutcome) let.puts().get(0).leaf().get(0);
        assertThat(deed.code(), is(422));
        return deed.faults();
    }

    private CommandResult over(final Command w) {
        return ((StateMachine.Judged.Over) judge(w)).verdict();
    }

    @Test
    void onlyWhatDiffersIsWrittenAndWhatVanishedLeavesAMark() {
        assertThat(
                let(lay(1, List.of(good("a"), good("b")), POOLS, 0)),
                containsInAnyOrder(
                        "u/a|/", "u/b|/", "b/warm", "b/spare", "p/charter", "q/paper", "a/0000000000000000001"));
        assertThat(
                let(lay(2, List.of(good("a"), good("c")), POOLS, 1)),
                containsInAnyOrder("-u/b|/", "u/c|/", "p/charter", "q/paper", "a/0000000000000000002"));
        assertThat(books.get("u/b|/").isPresent(), is(false));
        assertThat(books.since(1).stream().map(Entry::key).toList(), containsInAnyOrder("u/b|/", "u/c|/", "p/charter"));
    }

    @Test
    void theSamePaperAgainIsKeptAndALowerNumberIsNot() {
        let(lay(5, List.of(good("a")), POOLS, 0));
        final Command.PutConfiguration again = lay(5, List.of(good("a")), POOLS, 0);
        assertThat(over(again), is(new CommandResult.Applied(1)));
        assertThat(
                faults(lay(5, List.of(good("b")), POOLS, 5)),
                is(List.of("$.number: 5 is not higher than 5, which is in force")));
        assertThat(
                faults(lay(4, List.of(good("b")), POOLS, -1)),
                is(List.of("$.number: 4 is not higher than 5, which is in force")));
    }

    @Test
    void ofTwoThatRaceOnOneNumberOneIsLetInAndTheOtherIsToldWhatIsInForce() {
        final StateMachine.Judged.Let won = (StateMachine.Judged.Let) judge(lay(1, List.of(good("a")), POOLS, 0));
        won.puts().forEach(e -> overlay.put(e.key(), e));
        assertThat(
                "let in, not yet acknowledged",
                over(lay(2, List.of(good("b")), POOLS, 0)),
                is(new CommandResult.Rejected(409, List.of("the charter in force is number 1"), 1)));
        assertThat(
                "the same document by another way",
                over(lay(1, List.of(good("a")), POOLS, 0)),
                is(new CommandResult.Applied(1)));
        assertThat(
                ((StateMachine.Judged.Let) books.judge(lay(2, List.of(good("b")), POOLS, 1), overlay, 2, new Stamp(2)))
                        .puts().stream().filter(Entry::gone).map(Entry::key).toList(),
                is(List.of("u/a|/")));
    }

    @Test
    void everyFaultIsNamedWithItsPlace() {
        final Value.Route none =
                new Value.Route("", "", "x", false, false, false, false, 0, -1, 0, 0, 0, List.of(""), List.of());
        assertThat(
                faults(lay(
                                1,
                                List.of(
                                        good("a"),
                                        rule("a", "/", 1, new Value.WeightedBackend("cold", 2)),
                                        rule("b", "/x/", 1, new Value.WeightedBackend("warm", 0)),
                                        rule(
                                                "c",
                                                "/x/",
                                                1,
                                                new Value.WeightedBackend("warm", 3),
                                                new Value.WeightedBackend("spare", -1)),
                                        none),
                                POOLS,
                                0))
                        .stream()
                        .map(f -> f.substring(0, f.indexOf(':')))
                        .toList(),
                containsInAnyOrder(
                        "$.rules[1]",
                        "$.rules[1].lots[0].pool",
                        "$.rules[2].lots",
                        "$.rules[3].lots[1].weight",
                        "$.rules[4].name",
                        "$.rules[4].host",
                        "$.rules[4].path",
                        "$.rules[4].hold",
                        "$.rules[4].aim",
                        "$.rules[4].tries",
                        "$.rules[4].homes[0]",
                        "$.rules[4].lots"));
        assertThat(
                faults(lay(1, List.of(), List.of(pool("a"), pool("a"), pool("")), 0)).stream()
                        .map(f -> f.substring(0, f.indexOf(':')))
                        .toList(),
                containsInAnyOrder("$.pools[1].name", "$.pools[2].name"));
    }

    @Test
    void aRejectedCharterLeavesLittleBehind() {
        final List<Value.Route> many = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            many.add(rule(
                    "h".repeat(2_000) + i, "p".repeat(5_000), 0, new Value.WeightedBackend("none".repeat(1_000), 1)));
        }
        final List<String> faults = faults(lay(1, many, POOLS, 0));
        assertThat(faults.size(), is(20));
        assertThat(faults.stream().mapToInt(String::length).max().orElse(0), lessThanOrEqualTo(256));
        for (int i = 0; i <= ConfigurationValidator.MOST; i++) {
            many.add(good("h" + i));
        }
        assertThat(faults(lay(1, many, POOLS, 0)), is(List.of("$.rules: at most 20000, not 25001")));
        assertThat(judge(lay(1, many.subList(5_000, 25_000), POOLS, 0)), instanceOf(StateMachine.Judged.Let.class));
    }
}
