package silverlatch.tariff;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.tide.Stamp;

final class BooksTest {
    private final Books books = new Books();
    private long sequence;

    private Books.Judged judge(final Wish w) {
        final Books.Judged judged = books.judge(w, Map.of(), sequence + 1, new Stamp(sequence + 1));
        if (judged instanceof Books.Judged.Let let) {
            books.apply(++sequence, let.puts());
        }
        return judged;
    }

    private Verdict.Rejected rejected(final Wish w) {
        judge(w);
        return (Verdict.Rejected) ((Books.Judged.Over) judge(w)).verdict();
    }

    @Test
    void claimsAreNeverForgottenEarlyAndAFullSpaceIsTold() {
        final List<Entry> all = new ArrayList<>();
        for (int i = 0; i < Books.CLAIMS; i++) {
            all.add(new Entry("c/" + i, 1, List.of(new Leaf.Claim("t" + i, "p", "running", 5, 0))));
        }
        books.apply(++sequence, all);
        final Books.Judged full = judge(new Wish.Hold("id", "new", "t", "p", 9));
        assertThat(((Verdict.Rejected) ((Books.Judged.Over) full).verdict()).code(), is(507));
        final Books.Judged taken = judge(new Wish.Hold("id", "7", "t", "p", 9));
        assertThat(((Books.Judged.Over) taken).verdict(), instanceOf(Verdict.Stands.class));
        judge(new Wish.Sweep("s1", 1, 1));
        books.apply(++sequence, List.of(new Entry("h/glass", sequence, List.of(new Leaf.Glass(Books.TURNS - 1)))));
        judge(new Wish.Sweep("s", Books.TURNS, 1));
        assertThat(books.part("c/").size(), is(Books.CLAIMS));
        assertThat(judge(new Wish.Sweep("far", Books.TURNS + 100, 1)) instanceof Books.Judged.Over, is(true));
        assertThat(judge(new Wish.Sweep("old", 5, 1)) instanceof Books.Judged.Over, is(true));
        assertThat(books.turn(), is((long) Books.TURNS));
        judge(new Wish.Sweep("next", Books.TURNS + 1, 1));
        assertThat(books.part("c/").size() < Books.CLAIMS, is(true));
        assertThat(judge(new Wish.Hold("id", "new", "t", "p", 9)) instanceof Books.Judged.Let, is(true));
    }

    private Verdict over(final Wish w) {
        return ((Books.Judged.Over) judge(w)).verdict();
    }

    @Test
    void aKeyWhoseTicketWasRejectedGoesToOneLaterTicketAndToNoOther() {
        judge(new Wish.Hold("h1", "key", "one", "p", 10));
        assertThat(over(new Wish.Hold("h2", "key", "two", "q", 20)), instanceOf(Verdict.Stands.class));
        judge(new Wish.End("e1", "key", "one", "p", "rejected", 10));
        assertThat("a late copy of the first claim", over(new Wish.Hold("h1", "key", "one", "p", 10)), instanceOf(Verdict.Stands.class));
        assertThat(judge(new Wish.Hold("h3", "key", "two", "q", 20)), instanceOf(Books.Judged.Let.class));
        assertThat(over(new Wish.Hold("h4", "key", "three", "q", 30)), instanceOf(Verdict.Stands.class));
        assertThat("a late end of the first", ((Verdict.Rejected) over(new Wish.End("e1", "key", "one", "p", "rejected", 10))).code(), is(409));
        judge(new Wish.End("e2", "key", "two", "q", "rejected", 20));
        assertThat("a late copy of the first claim", over(new Wish.Hold("h1", "key", "one", "p", 10)), instanceOf(Verdict.Stands.class));
        assertThat(judge(new Wish.Hold("h5", "key", "four", "q", 40)), instanceOf(Books.Judged.Let.class));
        judge(new Wish.End("e3", "key", "four", "q", "lost", 40));
        assertThat(over(new Wish.Hold("h6", "key", "five", "q", 50)), instanceOf(Verdict.Stands.class));
    }

    @Test
    void anEndThatOvertakesItsClaimLeavesAMark() {
        assertThat(judge(new Wish.End("e1", "key", "one", "p", "rejected", 10)), instanceOf(Books.Judged.Let.class));
        assertThat("the claim comes late", over(new Wish.Hold("h1", "key", "one", "p", 10)), instanceOf(Verdict.Stands.class));
        assertThat(judge(new Wish.Hold("h2", "key", "two", "q", 20)), instanceOf(Books.Judged.Let.class));
        assertThat(over(new Wish.Hold("h1", "key", "one", "p", 10)), instanceOf(Verdict.Stands.class));
    }

    @Test
    void aTableIsTakenWholeOrNotAtAll() {
        assertThat(judge(new Wish.Table("one", List.of(Tariff.plain("*", "a"), Tariff.plain("*", "b")), -1)) instanceof Books.Judged.Let, is(true));
        assertThat(rejected(new Wish.Table("two", List.of(Tariff.plain("*", "c"), Tariff.plain("nobody", "c")), -1)).code(), is(422));
        assertThat(rejected(new Wish.Table("two-b", List.of(Tariff.plain("*", "c"), Tariff.plain("*", "c")), -1)).code(), is(422));
        assertThat(books.get("r/*/c").isPresent(), is(false));
        final List<Leaf.Row> many = new ArrayList<>();
        for (int i = 0; i <= Books.ROWS; i++) {
            many.add(Tariff.plain("*", "k" + i));
        }
        assertThat(rejected(new Wish.Table("three", many, -1)).code(), is(413));
        assertThat(judge(new Wish.Table("four", List.of(Tariff.plain("*", "b")), 1)) instanceof Books.Judged.Let, is(true));
        assertThat(books.get("r/*/a").isPresent(), is(false));
        assertThat(books.since(1).stream().anyMatch(e -> e.key().equals("r/*/a") && e.gone()), is(true));
    }

    @Test
    void theSameIdTakesEffectOnce() {
        assertThat(judge(new Wish.Zone("drain", "z", true, -1)) instanceof Books.Judged.Let, is(true));
        judge(new Wish.Zone("undrain", "z", false, -1));
        assertThat(((Books.Judged.Over) judge(new Wish.Zone("drain", "z", true, -1))).verdict(), is(new Verdict.Kept(1)));
        assertThat(((Leaf.Drain) books.get("z/z").orElseThrow().leaf().getFirst()).on(), is(false));
    }

    @Test
    void digestsTellBooksThatDifferAndMendingMakesThemTheSame() {
        for (int i = 0; i < 50; i++) {
            judge(new Wish.Zone("d" + i, "z" + i, true, -1));
        }
        final Books other = new Books();
        other.reset(40, books.all().subList(0, 60));
        final long[] mine = books.digests(16);
        final long[] theirs = other.digests(16);
        int differ = 0;
        for (int i = 0; i < 16; i++) {
            if (mine[i] != theirs[i]) {
                differ++;
                other.mend(i, 16, books.range(i, 16));
            }
        }
        assertThat(differ > 0, is(true));
        assertThat(other.all(), is(books.all()));
    }
}
