package silverlatch.tariff;

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
import silverlatch.tide.Stamp;

final class ChartersTest {
    private static final List<Leaf.Pool> POOLS = List.of(pool("warm"), pool("spare"));
    private final Books books = new Books();
    private final Map<String, Entry> overlay = new HashMap<>();
    private long sequence;
    private long id;

    private static Leaf.Pool pool(final String name) {
        return new Leaf.Pool(name, "/health/", 8, 1_000_000, 2, 16, 100_000, 4);
    }

    private static Leaf.Rule rule(final String host, final String path, final long hold, final Leaf.Lot... lots) {
        return new Leaf.Rule("rule " + host, host, path, true, false, false, true, hold, 0, 0, 0, 1, List.of(), List.of(lots));
    }

    private static Leaf.Rule good(final String host) {
        return rule(host, "/", 1_000, new Leaf.Lot("warm", 1));
    }

    private Wish.Lay lay(final long number, final List<Leaf.Rule> rules, final List<Leaf.Pool> pools, final long match) {
        return new Wish.Lay("id-" + ++id, new Leaf.Charter(number, 8_192, 1 << 20, 1, 1), rules, pools, "paper " + number + " " + rules.hashCode(), match);
    }

    private Books.Judged judge(final Wish w) {
        return books.judge(w, overlay, sequence + 1, new Stamp(sequence + 1));
    }

    private List<String> let(final Wish w) {
        final Books.Judged.Let let = (Books.Judged.Let) judge(w);
        books.apply(++sequence, let.puts());
        return let.puts().stream().map(e -> (e.gone() ? "-" : "") + e.key()).filter(k -> !k.startsWith("o/")).toList();
    }

    private List<String> faults(final Wish w) {
        final Books.Judged.Let let = (Books.Judged.Let) judge(w);
        assertThat("nothing but the deed is written", let.puts().size(), is(1));
        final Leaf.Deed deed = (Leaf.Deed) let.puts().getFirst().leaf().getFirst();
        assertThat(deed.code(), is(422));
        return deed.faults();
    }

    private Verdict over(final Wish w) {
        return ((Books.Judged.Over) judge(w)).verdict();
    }

    @Test
    void onlyWhatDiffersIsWrittenAndWhatVanishedLeavesAMark() {
        assertThat(let(lay(1, List.of(good("a"), good("b")), POOLS, 0)),
                containsInAnyOrder("u/a|/", "u/b|/", "b/warm", "b/spare", "p/charter", "q/paper"));
        assertThat(let(lay(2, List.of(good("a"), good("c")), POOLS, 1)), containsInAnyOrder("-u/b|/", "u/c|/", "p/charter", "q/paper"));
        assertThat(books.get("u/b|/").isPresent(), is(false));
        assertThat(books.since(1).stream().map(Entry::key).toList(), containsInAnyOrder("u/b|/", "u/c|/", "p/charter"));
    }

    @Test
    void theSamePaperAgainIsKeptAndALowerNumberIsNot() {
        let(lay(5, List.of(good("a")), POOLS, 0));
        final Wish.Lay again = lay(5, List.of(good("a")), POOLS, 0);
        assertThat(over(again), is(new Verdict.Kept(1)));
        assertThat(faults(lay(5, List.of(good("b")), POOLS, 5)), is(List.of("$.number: 5 is not higher than 5, which is in force")));
        assertThat(faults(lay(4, List.of(good("b")), POOLS, -1)), is(List.of("$.number: 4 is not higher than 5, which is in force")));
    }

    @Test
    void ofTwoThatRaceOnOneNumberOneIsLetInAndTheOtherIsToldWhatIsInForce() {
        final Books.Judged.Let won = (Books.Judged.Let) judge(lay(1, List.of(good("a")), POOLS, 0));
        won.puts().forEach(e -> overlay.put(e.key(), e));
        assertThat("let in, not yet acknowledged", over(lay(2, List.of(good("b")), POOLS, 0)),
                is(new Verdict.Rejected(409, List.of("the charter in force is number 1"), 1)));
        assertThat("the same document by another way", over(lay(1, List.of(good("a")), POOLS, 0)), is(new Verdict.Kept(1)));
        assertThat(((Books.Judged.Let) books.judge(lay(2, List.of(good("b")), POOLS, 1), overlay, 2, new Stamp(2))).puts().stream()
                .filter(Entry::gone).map(Entry::key).toList(), is(List.of("u/a|/")));
    }

    @Test
    void everyFaultIsNamedWithItsPlace() {
        final Leaf.Rule none = new Leaf.Rule("", "", "x", false, false, false, false, 0, -1, 0, 0, 0, List.of(""), List.of());
        assertThat(faults(lay(1, List.of(good("a"), rule("a", "/", 1, new Leaf.Lot("cold", 2)), rule("b", "/x/", 1, new Leaf.Lot("warm", 0)),
                        rule("c", "/x/", 1, new Leaf.Lot("warm", 3), new Leaf.Lot("spare", -1)), none), POOLS, 0)).stream()
                        .map(f -> f.substring(0, f.indexOf(':'))).toList(),
                containsInAnyOrder("$.rules[1]", "$.rules[1].lots[0].pool", "$.rules[2].lots", "$.rules[3].lots[1].weight", "$.rules[4].name",
                        "$.rules[4].host", "$.rules[4].path", "$.rules[4].hold", "$.rules[4].aim", "$.rules[4].tries", "$.rules[4].homes[0]",
                        "$.rules[4].lots"));
        assertThat(faults(lay(1, List.of(), List.of(pool("a"), pool("a"), pool("")), 0)).stream().map(f -> f.substring(0, f.indexOf(':'))).toList(),
                containsInAnyOrder("$.pools[1].name", "$.pools[2].name"));
    }

    @Test
    void aRejectedCharterLeavesLittleBehind() {
        final List<Leaf.Rule> many = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            many.add(rule("h".repeat(2_000) + i, "p".repeat(5_000), 0, new Leaf.Lot("none".repeat(1_000), 1)));
        }
        final List<String> faults = faults(lay(1, many, POOLS, 0));
        assertThat(faults.size(), is(20));
        assertThat(faults.stream().mapToInt(String::length).max().orElse(0), lessThanOrEqualTo(256));
        for (int i = 0; i <= Charters.MOST; i++) {
            many.add(good("h" + i));
        }
        assertThat(faults(lay(1, many, POOLS, 0)), is(List.of("$.rules: at most 20000, not 25001")));
        assertThat(judge(lay(1, many.subList(5_000, 25_000), POOLS, 0)), instanceOf(Books.Judged.Let.class));
    }
}
