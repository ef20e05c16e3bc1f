package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

final class StateMachineTest {
    private final StateMachine books = new StateMachine();
    private long sequence;

    private StateMachine.Judged judge(final Command w) {
        final StateMachine.Judged judged = books.judge(w, Map.of(), sequence + 1, new Stamp(sequence + 1));
        if (judged instanceof StateMachine.Judged.Let let) {
            books.apply(++sequence, let.puts());
        }
        return judged;
    }

    private CommandResult.Rejected rejected(final Command w) {
        judge(w);
        return (CommandResult.Rejected) ((StateMachine.Judged.Over) judge(w)).verdict();
    }

    @Test
    void claimsAreNeverForgottenEarlyAndAFullSpaceIsTold() {
        final List<Entry> all = new ArrayList<>();
        for (int i = 0; i < StateMachine.CLAIMS; i++) {
            all.add(new Entry("c/" + i, 1, List.of(new Value.Claim("t" + i, "p", "running", 5, 0))));
        }
        books.apply(++sequence, all);
        final StateMachine.Judged full = judge(new Command.Claim("id", "new", "t", "p", 9));
        assertThat(((CommandResult.Rejected) ((StateMachine.Judged.Over) full).verdict()).code(), is(507));
        final StateMachine.Judged taken = judge(new Command.Claim("id", "7", "t", "p", 9));
        assertThat(((StateMachine.Judged.Over) taken).verdict(), instanceOf(CommandResult.AlreadyClaimed.class));
        judge(new Command.AdvanceEpoch("s1", 1, 1));
        books.apply(
                ++sequence, List.of(new Entry("h/glass", sequence, List.of(new Value.Epoch(StateMachine.TURNS - 1)))));
        judge(new Command.AdvanceEpoch("s", StateMachine.TURNS, 1));
        assertThat(books.part("c/").size(), is(StateMachine.CLAIMS));
        assertThat(
                judge(new Command.AdvanceEpoch("far", StateMachine.TURNS + 100, 1)) instanceof StateMachine.Judged.Over,
                is(true));
        assertThat(judge(new Command.AdvanceEpoch("old", 5, 1)) instanceof StateMachine.Judged.Over, is(true));
        assertThat(books.turn(), is((long) StateMachine.TURNS));
        judge(new Command.AdvanceEpoch("next", StateMachine.TURNS + 1, 1));
        assertThat(books.part("c/").size() < StateMachine.CLAIMS, is(true));
        assertThat(judge(new Command.Claim("id", "new", "t", "p", 9)) instanceof StateMachine.Judged.Let, is(true));
    }

    private CommandResult over(final Command w) {
        return ((StateMachine.Judged.Over) judge(w)).verdict();
    }

    @Test
    void aKeyWhoseTicketWasRejectedGoesToOneLaterTicketAndToNoOther() {
        judge(new Command.Claim("h1", "key", "one", "p", 10));
        assertThat(
                over(new Command.Claim("h2", "key", "two", "q", 20)), instanceOf(CommandResult.AlreadyClaimed.class));
        judge(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10));
        assertThat(
                "a late copy of the first claim",
                over(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(judge(new Command.Claim("h3", "key", "two", "q", 20)), instanceOf(StateMachine.Judged.Let.class));
        assertThat(
                over(new Command.Claim("h4", "key", "three", "q", 30)), instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                "a late end of the first",
                ((CommandResult.Rejected) over(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)))
                        .code(),
                is(409));
        judge(new Command.CompleteClaim("e2", "key", "two", "q", "rejected", 20));
        assertThat(
                "a late copy of the first claim",
                over(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(judge(new Command.Claim("h5", "key", "four", "q", 40)), instanceOf(StateMachine.Judged.Let.class));
        judge(new Command.CompleteClaim("e3", "key", "four", "q", "lost", 40));
        assertThat(
                over(new Command.Claim("h6", "key", "five", "q", 50)), instanceOf(CommandResult.AlreadyClaimed.class));
    }

    @Test
    void anEndThatOvertakesItsClaimLeavesAMark() {
        assertThat(
                judge(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)),
                instanceOf(StateMachine.Judged.Let.class));
        assertThat(
                "the claim comes late",
                over(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(judge(new Command.Claim("h2", "key", "two", "q", 20)), instanceOf(StateMachine.Judged.Let.class));
        assertThat(
                over(new Command.Claim("h1", "key", "one", "p", 10)), instanceOf(CommandResult.AlreadyClaimed.class));
    }

    @Test
    void aTableIsTakenWholeOrNotAtAll() {
        assertThat(
                judge(new Command.PutTable("one", List.of(TableRules.plain("*", "a"), TableRules.plain("*", "b")), -1))
                        instanceof StateMachine.Judged.Let,
                is(true));
        assertThat(
                rejected(new Command.PutTable(
                                "two", List.of(TableRules.plain("*", "c"), TableRules.plain("nobody", "c")), -1))
                        .code(),
                is(422));
        assertThat(
                rejected(new Command.PutTable(
                                "two-b", List.of(TableRules.plain("*", "c"), TableRules.plain("*", "c")), -1))
                        .code(),
                is(422));
        assertThat(books.get("r/*/c").isPresent(), is(false));
        final List<Value.Row> many = new ArrayList<>();
        for (int i = 0; i <= StateMachine.ROWS; i++) {
            many.add(TableRules.plain("*", "k" + i));
        }
        assertThat(rejected(new Command.PutTable("three", many, -1)).code(), is(413));
        assertThat(
                judge(new Command.PutTable("four", List.of(TableRules.plain("*", "b")), 1))
                        instanceof StateMachine.Judged.Let,
                is(true));
        assertThat(books.get("r/*/a").isPresent(), is(false));
        assertThat(books.since(1).stream().anyMatch(e -> e.key().equals("r/*/a") && e.gone()), is(true));
    }

    @Test
    void theSameIdTakesEffectOnce() {
        assertThat(
                judge(new Command.SetEvacuation("drain", "z", true, -1)) instanceof StateMachine.Judged.Let, is(true));
        judge(new Command.SetEvacuation("undrain", "z", false, -1));
        assertThat(
                ((StateMachine.Judged.Over) judge(new Command.SetEvacuation("drain", "z", true, -1))).verdict(),
                is(new CommandResult.Applied(1)));
        assertThat(((Value.Evacuation) books.get("z/z").orElseThrow().leaf().get(0)).on(), is(false));
    }

    @Test
    void digestsTellBooksThatDifferAndMendingMakesThemTheSame() {
        for (int i = 0; i < 50; i++) {
            judge(new Command.SetEvacuation("d" + i, "z" + i, true, -1));
        }
        final StateMachine other = new StateMachine();
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
