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
    private final StateMachine state = new StateMachine();
    private long sequence;

    private Evaluation execute(final Command command) {
        final Evaluation evaluation = state.evaluate(command, Map.of(), sequence + 1, new Stamp(sequence + 1));
        if (evaluation instanceof Evaluation.Write write) {
            state.apply(++sequence, write.entries());
        }
        return evaluation;
    }

    private CommandResult.Rejected rejected(final Command command) {
        execute(command);
        return (CommandResult.Rejected) ((Evaluation.Reply) execute(command)).result();
    }

    @Test
    void claimsAreNeverExpiredEarlyAndAFullTableIsRejected() {
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < StateMachine.MAX_CLAIMS; i++) {
            entries.add(new Entry("c/" + i, 1, List.of(new Value.Claim("t" + i, "p", "running", 5, 0))));
        }
        state.apply(++sequence, entries);
        final Evaluation full = execute(new Command.Claim("id", "new", "t", "p", 9));
        assertThat(((CommandResult.Rejected) ((Evaluation.Reply) full).result()).code(), is(507));
        final Evaluation taken = execute(new Command.Claim("id", "7", "t", "p", 9));
        assertThat(((Evaluation.Reply) taken).result(), instanceOf(CommandResult.AlreadyClaimed.class));
        execute(new Command.AdvanceEpoch("s1", 1, 1));
        state.apply(
                ++sequence,
                List.of(new Entry(
                        "h/glass", sequence, List.of(new Value.Epoch(StateMachine.CLAIM_RETENTION_EPOCHS - 1)))));
        execute(new Command.AdvanceEpoch("s", StateMachine.CLAIM_RETENTION_EPOCHS, 1));
        assertThat(state.entriesWithPrefix("c/").size(), is(StateMachine.MAX_CLAIMS));
        assertThat(
                execute(new Command.AdvanceEpoch("far", StateMachine.CLAIM_RETENTION_EPOCHS + 100, 1))
                        instanceof Evaluation.Reply,
                is(true));
        assertThat(execute(new Command.AdvanceEpoch("old", 5, 1)) instanceof Evaluation.Reply, is(true));
        assertThat(state.epoch(), is((long) StateMachine.CLAIM_RETENTION_EPOCHS));
        execute(new Command.AdvanceEpoch("next", StateMachine.CLAIM_RETENTION_EPOCHS + 1, 1));
        assertThat(state.entriesWithPrefix("c/").size() < StateMachine.MAX_CLAIMS, is(true));
        assertThat(execute(new Command.Claim("id", "new", "t", "p", 9)) instanceof Evaluation.Write, is(true));
    }

    private CommandResult reply(final Command command) {
        return ((Evaluation.Reply) execute(command)).result();
    }

    @Test
    void aKeyWhoseRequestWasRejectedGoesToOneLaterRequestAndToNoOther() {
        execute(new Command.Claim("h1", "key", "one", "p", 10));
        assertThat(
                reply(new Command.Claim("h2", "key", "two", "q", 20)), instanceOf(CommandResult.AlreadyClaimed.class));
        execute(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10));
        assertThat(
                "a late copy of the first claim",
                reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(execute(new Command.Claim("h3", "key", "two", "q", 20)), instanceOf(Evaluation.Write.class));
        assertThat(
                reply(new Command.Claim("h4", "key", "three", "q", 30)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                "a late end of the first",
                ((CommandResult.Rejected) reply(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)))
                        .code(),
                is(409));
        execute(new Command.CompleteClaim("e2", "key", "two", "q", "rejected", 20));
        assertThat(
                "a late copy of the first claim",
                reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(execute(new Command.Claim("h5", "key", "four", "q", 40)), instanceOf(Evaluation.Write.class));
        execute(new Command.CompleteClaim("e3", "key", "four", "q", "lost", 40));
        assertThat(
                reply(new Command.Claim("h6", "key", "five", "q", 50)), instanceOf(CommandResult.AlreadyClaimed.class));
    }

    @Test
    void aCompletionThatOvertakesItsClaimLeavesARecord() {
        assertThat(
                execute(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)),
                instanceOf(Evaluation.Write.class));
        assertThat(
                "the claim comes late",
                reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(execute(new Command.Claim("h2", "key", "two", "q", 20)), instanceOf(Evaluation.Write.class));
        assertThat(
                reply(new Command.Claim("h1", "key", "one", "p", 10)), instanceOf(CommandResult.AlreadyClaimed.class));
    }

    @Test
    void aTableIsReplacedCompletelyOrNotAtAll() {
        assertThat(
                execute(new Command.PutTable(
                                "one", List.of(TableRules.defaultRow("*", "a"), TableRules.defaultRow("*", "b")), -1))
                        instanceof Evaluation.Write,
                is(true));
        assertThat(
                rejected(new Command.PutTable(
                                "two",
                                List.of(TableRules.defaultRow("*", "c"), TableRules.defaultRow("nobody", "c")),
                                -1))
                        .code(),
                is(422));
        assertThat(
                rejected(new Command.PutTable(
                                "two-b", List.of(TableRules.defaultRow("*", "c"), TableRules.defaultRow("*", "c")), -1))
                        .code(),
                is(422));
        assertThat(state.get("r/*/c").isPresent(), is(false));
        final List<Value.Row> rows = new ArrayList<>();
        for (int i = 0; i <= StateMachine.MAX_ROWS; i++) {
            rows.add(TableRules.defaultRow("*", "k" + i));
        }
        assertThat(rejected(new Command.PutTable("three", rows, -1)).code(), is(413));
        assertThat(
                execute(new Command.PutTable("four", List.of(TableRules.defaultRow("*", "b")), 1))
                        instanceof Evaluation.Write,
                is(true));
        assertThat(state.get("r/*/a").isPresent(), is(false));
        assertThat(state.policySince(1).stream().anyMatch(e -> e.key().equals("r/*/a") && e.isDeleted()), is(true));
    }

    @Test
    void theSameIdTakesEffectOnce() {
        assertThat(execute(new Command.SetEvacuation("drain", "z", true, -1)) instanceof Evaluation.Write, is(true));
        execute(new Command.SetEvacuation("undrain", "z", false, -1));
        assertThat(
                ((Evaluation.Reply) execute(new Command.SetEvacuation("drain", "z", true, -1))).result(),
                is(new CommandResult.Applied(1)));
        assertThat(((Value.Evacuation) state.get("z/z").orElseThrow().value().get(0)).active(), is(false));
    }

    @Test
    void digestsDetectStatesThatDifferAndRepairMakesThemEqual() {
        for (int i = 0; i < 50; i++) {
            execute(new Command.SetEvacuation("d" + i, "z" + i, true, -1));
        }
        final StateMachine other = new StateMachine();
        other.reset(40, state.allEntries().subList(0, 60));
        final long[] digests = state.digests(16);
        final long[] otherDigests = other.digests(16);
        int differences = 0;
        for (int i = 0; i < 16; i++) {
            if (digests[i] != otherDigests[i]) {
                differences++;
                other.replaceRange(i, 16, state.entriesInRange(i, 16));
            }
        }
        assertThat(differences > 0, is(true));
        assertThat(other.allEntries(), is(state.allEntries()));
    }
}
