package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a command that changes only some of its rows, against lost updates by an outdated expected revision,
 * and against a table that grows beyond its limit.
 */
final class TableManagerTest {
    private final CommandExecutor commands = new CommandExecutor();

    @Test
    void tableIsReplacedCompletelyOrNotAtAll() {
        assertThat(
                commands.execute(new Command.PutTable(
                                "one", List.of(TableRules.defaultRow("*", "a"), TableRules.defaultRow("*", "b")), -1))
                        instanceof Evaluation.Write,
                is(true));
        assertThat(
                commands.rejected(new Command.PutTable(
                                "two",
                                List.of(TableRules.defaultRow("*", "c"), TableRules.defaultRow("nobody", "c")),
                                -1))
                        .code(),
                is(422));
        assertThat(
                commands.rejected(new Command.PutTable(
                                "two-b", List.of(TableRules.defaultRow("*", "c"), TableRules.defaultRow("*", "c")), -1))
                        .code(),
                is(422));
        assertThat(commands.state().get("r/*/c").isPresent(), is(false));
        final List<Value.Row> rows = new ArrayList<>();
        for (int i = 0; i <= StateMachine.MAX_ROWS; i++) {
            rows.add(TableRules.defaultRow("*", "k" + i));
        }
        assertThat(commands.rejected(new Command.PutTable("three", rows, -1)).code(), is(413));
        assertThat(
                commands.execute(new Command.PutTable("four", List.of(TableRules.defaultRow("*", "b")), 1))
                        instanceof Evaluation.Write,
                is(true));
        assertThat(commands.state().get("r/*/a").isPresent(), is(false));
        assertThat(
                commands.state().policySince(1).stream().anyMatch(e -> e.key().equals("r/*/a") && e.isDeleted()),
                is(true));
    }

    private static Command.PatchTable patch(
            final String id, final String tenant, final String field, final String value, final long expectedRevision) {
        return new Command.PatchTable(id, List.of(new Command.Cell(tenant, "chat", field, value)), expectedRevision);
    }

    private Value.Row row(final String tenant) {
        return (Value.Row) commands.state()
                .get(StateMachine.rowKey(tenant, "chat"))
                .orElseThrow()
                .value()
                .get(0);
    }

    @Test
    void newRowIsInitializedFromTheRowOfAllTenantsOrTheDefault() {
        commands.execute(new Command.PutTenant(
                "tenant", new Value.Tenant("acme", List.of(), 1, "0123456789abcdef".repeat(4), ""), -1));
        commands.execute(patch("one", "*", "load", "7", -1));
        commands.execute(patch("two", "acme", "rate", "3", -1));
        assertThat(
                row("*"),
                is(new RowBuilder(TableRules.defaultRow("*", "chat"))
                        .cell("load", "7")
                        .build()));
        assertThat(
                row("acme"),
                is(new RowBuilder(row("*")).tenant("acme").cell("rate", "3").build()));
    }

    @Test
    void patchIsAppliedCompletelyOrNotAtAll() {
        assertThat(
                commands.rejected(new Command.PatchTable("none", List.of(), -1)).faults(),
                is(List.of("$.cells: none given")));
        final CommandResult.Rejected rejected = commands.rejected(new Command.PatchTable(
                "some",
                List.of(
                        new Command.Cell("*", "chat", "load", "2"),
                        new Command.Cell("*", "chat", "rank", "10"),
                        new Command.Cell("*", "chat", "once", "perhaps"),
                        new Command.Cell("*", "chat", "colour", "red")),
                -1));
        assertThat(rejected.code(), is(422));
        assertThat(
                rejected.faults(),
                is(List.of(
                        "$.cells[2]: once is true or false, not perhaps",
                        "$.cells[3]: no field colour; there are " + String.join(", ", TableRules.FIELDS),
                        "rank: 10.0 is not within 0.0 and 9.0")));
        assertThat(commands.state().get("r/*/chat").isPresent(), is(false));
    }

    @Test
    void patchThatExpectsAnOutdatedRevisionIsAConflict() {
        commands.execute(patch("one", "*", "load", "1", 0));
        commands.execute(patch("two", "*", "load", "2", 1));
        assertThat(
                commands.reply(patch("three", "*", "load", "3", 1)),
                is(new CommandResult.Rejected(409, List.of("the table is at sequence 2"), 2)));
        assertThat(row("*").loadWeight(), is(2.0));
    }

    @Test
    void patchThatWouldExceedTheMaximumNumberOfRowsIsRejected() {
        final List<Value.Row> rows = new ArrayList<>();
        for (int i = 0; i < StateMachine.MAX_ROWS; i++) {
            rows.add(TableRules.defaultRow("*", "k" + i));
        }
        commands.execute(new Command.PutTable("full", rows, -1));
        assertThat(commands.rejected(patch("more", "*", "load", "1", -1)).code(), is(507));
        commands.execute(new Command.PatchTable("same", List.of(new Command.Cell("*", "k0", "load", "9")), -1));
        assertThat(commands.state().get("r/*/k0").isPresent(), is(true));
        assertThat(commands.state().get("r/*/chat").isPresent(), is(false));
    }
}
