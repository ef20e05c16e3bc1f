package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.wire.Codec;

/**
 * Guards against applying a configuration command twice, and against rejecting one that was accepted: a command may be
 * sent again under another id after other configurations have followed it, or after its entry has been evicted from the
 * bounded history.
 */
final class AcceptedConfigurationsTest {
    private static final int MORE_THAN_RETAINED = AcceptedConfigurations.MAX_RETAINED + 10;
    private final StateMachine state = new StateMachine();
    private long lastId;

    private Command.PutConfiguration command(final long number, final long expectedRevision, final String document) {
        final Value.Route route = new Value.Route(
                "route",
                "host",
                "/",
                false,
                false,
                false,
                false,
                1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
        return new Command.PutConfiguration(
                "id-" + ++lastId,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1)),
                document,
                expectedRevision);
    }

    private Command.PutConfiguration command(final long number, final long expectedRevision) {
        return command(number, expectedRevision, "text " + number);
    }

    private Command.PutConfiguration invalid(final long number, final long expectedRevision) {
        final Command.PutConfiguration valid = command(number, expectedRevision);
        return new Command.PutConfiguration(
                valid.id(), valid.configuration(), valid.routes(), List.of(), valid.document(), expectedRevision);
    }

    private Evaluation evaluate(final Command command) {
        return state.evaluate(command, Map.of(), state.sequence() + 1, new Stamp(state.sequence() + 1));
    }

    private CommandResult result(final Command command) {
        return switch (evaluate(command)) {
            case Evaluation.Reply reply -> reply.result();
            case Evaluation.Write write -> committed(command, write);
        };
    }

    private CommandResult committed(final Command command, final Evaluation.Write write) {
        state.apply(state.sequence() + 1, write.entries());
        final Value.CommandOutcome outcome = (Value.CommandOutcome)
                state.get("o/" + command.id()).orElseThrow().value().get(0);
        return outcome.code() == 0
                ? new CommandResult.Applied(state.sequence())
                : new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence());
    }

    private static int code(final CommandResult result) {
        return result instanceof CommandResult.Rejected r ? r.code() : 0;
    }

    @Test
    void commandsOlderThanTheHistoryHaveAnUnknownResultAndRetainedOnesAreRecognized() {
        for (long n = 1; n <= MORE_THAN_RETAINED; n++) {
            assertThat(result(command(2 * n, 2 * (n - 1))), is(new CommandResult.Applied(n)));
        }
        assertThat(
                state.entriesWithPrefix(AcceptedConfigurations.KEY_PREFIX).size(),
                is(AcceptedConfigurations.MAX_RETAINED));
        assertThat(
                "the newest evicted configuration",
                result(command(20, 18)),
                is(instanceOf(CommandResult.Unknown.class)));
        assertThat(
                "the first configuration, evicted too",
                result(command(2, 0)),
                is(instanceOf(CommandResult.Unknown.class)));
        assertThat(
                "another document that may have been accepted under an evicted number",
                result(command(20, 18, "x")),
                is(instanceOf(CommandResult.Unknown.class)));
        assertThat("the oldest retained configuration", result(command(22, 20)), is(new CommandResult.Applied(11)));
        assertThat(
                "a document that was not accepted under this retained number",
                code(result(command(22, 20, "x"))),
                is(409));
        assertThat(
                "the document was accepted under this number on top of another one",
                code(result(command(22, 18))),
                is(409));
        assertThat(
                "a number that was never accepted, above the highest evicted one",
                code(result(command(21, 20))),
                is(409));
        assertThat("invalid, so it was never accepted", code(result(invalid(20, 18))), is(409));
        assertThat("not higher than its base, so it was never accepted", code(result(command(20, 20))), is(409));
    }

    @Test
    void historyStaysBoundedWhileManyCommandsArePending() {
        final Map<String, Entry> overlay = new java.util.HashMap<>();
        for (long n = 1; n <= MORE_THAN_RETAINED; n++) {
            final Evaluation.Write write =
                    (Evaluation.Write) state.evaluate(command(n, n - 1), overlay, n, new Stamp(n));
            write.entries().forEach(e -> overlay.put(e.key(), e));
            if (n % 8 == 0 || n == MORE_THAN_RETAINED) {
                state.apply(n, overlay.values());
                overlay.clear();
            }
        }
        assertThat(
                state.entriesWithPrefix(AcceptedConfigurations.KEY_PREFIX).size(),
                is(AcceptedConfigurations.MAX_RETAINED));
        assertThat("retained command outcomes", state.entriesWithPrefix("o/").size(), is(1_000));
    }

    @Test
    void withoutHistoryTheConfigurationInForceIsRecognizedAndNoneThatMayHaveBeenAcceptedIsRejected() {
        final Command.PutConfiguration inForce = command(7, 5);
        state.apply(
                1,
                ConfigurationWrites.of(
                        Command.PutFullConfiguration.of(inForce),
                        new EvaluationContext(new EntryTable(), Map.of(), 1, new Stamp(1))));
        assertThat(result(command(7, 5)), is(new CommandResult.Applied(1)));
        assertThat("builds on its own number", code(result(command(7, 7))), is(422));
        assertThat("another document under the number in force", code(result(command(7, 5, "x"))), is(409));
        assertThat(result(command(5, 3)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat(result(command(8, 7)), is(instanceOf(CommandResult.Applied.class)));
        assertThat(result(command(5, 3)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat(
                "was in force before the history began and is not in it",
                result(command(7, 5)),
                is(instanceOf(CommandResult.Unknown.class)));
        assertThat(result(command(8, 7)), is(instanceOf(CommandResult.Applied.class)));
    }

    @Test
    void rejectionOfACommandAheadOfItsBaseIsStoredForEveryDuplicate() {
        result(command(5, 0));
        assertThat(code(result(command(9, 8))), is(409));
        result(command(8, 5));
        assertThat(code(result(command(9, 8))), is(409));
        assertThat(
                "another document, so not the rejected command",
                result(command(9, 8, "x")),
                is(instanceOf(CommandResult.Applied.class)));
    }

    @Test
    void fullHistoryTakesLessThanAMegabyteOfASnapshot() {
        final List<Entry> retained = new ArrayList<>();
        for (long n = 1; n <= AcceptedConfigurations.MAX_RETAINED; n++) {
            final long number = 1_000_000_000L + n;
            retained.addAll(AcceptedConfigurations.writes(command(number, number - 1), Map.of(), number - 1, number));
        }
        final int bytes = new Codec()
                .encode(new silverlatch.log.LogRecord.Batch(List.of(new silverlatch.log.LogRecord.Appended(
                        new silverlatch.replication.LogEntry(1, 1, new Stamp(1), retained)))))
                .length;
        System.out.println("accepted configurations in a snapshot: " + bytes + " bytes");
        assertThat(bytes, is(lessThan(1 << 20)));
    }
}
