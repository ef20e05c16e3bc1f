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

final class AcceptedConfigurationsTest {
    private static final int MORE_THAN_REMEMBERED = AcceptedConfigurations.REMEMBERED + 10;
    private final StateMachine state = new StateMachine();
    private long id;

    private Command.PutConfiguration order(final long number, final long match, final String text) {
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
                "id-" + ++id,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1)),
                text,
                match);
    }

    private Command.PutConfiguration order(final long number, final long match) {
        return order(number, match, "text " + number);
    }

    private Command.PutConfiguration invalid(final long number, final long match) {
        final Command.PutConfiguration o = order(number, match);
        return new Command.PutConfiguration(o.id(), o.charter(), o.rules(), List.of(), o.paper(), match);
    }

    private StateMachine.Judged judge(final Command command) {
        return state.judge(command, Map.of(), state.sequence() + 1, new Stamp(state.sequence() + 1));
    }

    private CommandResult result(final Command command) {
        return switch (judge(command)) {
            case StateMachine.Judged.Over over -> over.verdict();
            case StateMachine.Judged.Let let -> committed(command, let);
        };
    }

    private CommandResult committed(final Command command, final StateMachine.Judged.Let let) {
        state.apply(state.sequence() + 1, let.puts());
        final Value.CommandOutcome outcome = (Value.CommandOutcome)
                state.get("o/" + command.id()).orElseThrow().leaf().get(0);
        return outcome.code() == 0
                ? new CommandResult.Applied(state.sequence())
                : new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence());
    }

    private static int code(final CommandResult result) {
        return result instanceof CommandResult.Rejected r ? r.code() : 0;
    }

    @Test
    void whatIsOlderThanTheMemoryGetsNoClearAnswerAndTheRestIsKnown() {
        for (long n = 1; n <= MORE_THAN_REMEMBERED; n++) {
            assertThat(result(order(2 * n, 2 * (n - 1))), is(new CommandResult.Applied(n)));
        }
        assertThat(state.part(AcceptedConfigurations.KEYS).size(), is(AcceptedConfigurations.REMEMBERED));
        assertThat("the newest forgotten", result(order(20, 18)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat("the first", result(order(2, 0)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat("perhaps one of them", result(order(20, 18, "x")), is(instanceOf(CommandResult.Unknown.class)));
        assertThat("the oldest remembered", result(order(22, 20)), is(new CommandResult.Applied(11)));
        assertThat("never taken under this number", code(result(order(22, 20, "x"))), is(409));
        assertThat("never taken on top of this", code(result(order(22, 18))), is(409));
        assertThat("a number that nobody took", code(result(order(21, 20))), is(409));
        assertThat("never valid", code(result(invalid(20, 18))), is(409));
        assertThat("never higher than its base", code(result(order(20, 20))), is(409));
    }

    @Test
    void theMemoryIsBoundedAlsoWhereManyAreUnderWay() {
        final Map<String, Entry> overlay = new java.util.HashMap<>();
        for (long n = 1; n <= MORE_THAN_REMEMBERED; n++) {
            final StateMachine.Judged.Let let =
                    (StateMachine.Judged.Let) state.judge(order(n, n - 1), overlay, n, new Stamp(n));
            let.puts().forEach(e -> overlay.put(e.key(), e));
            if (n % 8 == 0 || n == MORE_THAN_REMEMBERED) {
                state.apply(n, overlay.values());
                overlay.clear();
            }
        }
        assertThat(state.part(AcceptedConfigurations.KEYS).size(), is(AcceptedConfigurations.REMEMBERED));
        assertThat("outcomes", state.part("o/").size(), is(1_000));
    }

    @Test
    void aFolderWithoutTheMemoryKnowsWhatIsInForceAndRefusesNothingElseThatItMayHaveTaken() {
        final Command.PutConfiguration inForce = order(7, 5);
        state.apply(1, ConfigurationValidator.puts(inForce, Map.of(), 1));
        assertThat(result(order(7, 5)), is(new CommandResult.Applied(1)));
        assertThat("on top of itself", code(result(order(7, 7))), is(422));
        assertThat("another under its number", code(result(order(7, 5, "x"))), is(409));
        assertThat(result(order(5, 3)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat(result(order(8, 7)), is(instanceOf(CommandResult.Applied.class)));
        assertThat(result(order(5, 3)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat("in force when the memory began", result(order(7, 5)), is(instanceOf(CommandResult.Unknown.class)));
        assertThat(result(order(8, 7)), is(instanceOf(CommandResult.Applied.class)));
    }

    @Test
    void aRefusalAheadOfItsBaseIsKeptForEveryCopy() {
        result(order(5, 0));
        assertThat(code(result(order(9, 8))), is(409));
        result(order(8, 5));
        assertThat(code(result(order(9, 8))), is(409));
        assertThat("another text", result(order(9, 8, "x")), is(instanceOf(CommandResult.Applied.class)));
    }

    @Test
    void theWholeMemoryTakesLessThanAMegabyteOfASnapshot() {
        final List<Entry> memory = new ArrayList<>();
        for (long n = 1; n <= AcceptedConfigurations.REMEMBERED; n++) {
            final long number = 1_000_000_000L + n;
            memory.addAll(AcceptedConfigurations.puts(order(number, number - 1), Map.of(), number - 1, number));
        }
        final int bytes = new Codec()
                .encode(new silverlatch.log.LogRecord.Batch(List.of(new silverlatch.log.LogRecord.Appended(
                        new silverlatch.replication.LogEntry(1, 1, new Stamp(1), memory)))))
                .length;
        System.out.println("memory of accepted configurations: " + bytes + " bytes");
        assertThat(bytes, is(lessThan(1 << 20)));
    }
}
