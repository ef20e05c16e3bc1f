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

/**
 * Guards against invalid routing configurations taking effect, against two of them replacing the same one, and against
 * rejections that take much space in the replicated log.
 */
final class ConfigurationValidatorTest {
    private static final List<Value.BackendPool> POOLS = List.of(pool("warm"), pool("spare"));
    private final StateMachine state = new StateMachine();
    private final Map<String, Entry> overlay = new HashMap<>();
    private long sequence;
    private long lastId;

    private static Value.BackendPool pool(final String name) {
        return new Value.BackendPool(name, "/health/", 8, 1_000_000, 2, 16, 100_000, 4);
    }

    private static Value.Route route(
            final String host, final String path, final long timeoutMicros, final Value.WeightedBackend... backends) {
        return new Value.Route(
                "rule " + host,
                host,
                path,
                true,
                false,
                false,
                true,
                timeoutMicros,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(backends));
    }

    private static Value.Route validRoute(final String host) {
        return route(host, "/", 1_000, new Value.WeightedBackend("warm", 1));
    }

    private Command.PutConfiguration putConfiguration(
            final long number,
            final List<Value.Route> routes,
            final List<Value.BackendPool> pools,
            final long expectedRevision) {
        return new Command.PutConfiguration(
                "id-" + ++lastId,
                new Value.RoutingConfiguration(number, 8_192, 1 << 20, 1, 1),
                routes,
                pools,
                "paper " + number + " " + routes.hashCode(),
                expectedRevision);
    }

    private Evaluation evaluate(final Command command) {
        return state.evaluate(command, overlay, sequence + 1, new Stamp(sequence + 1));
    }

    private List<String> writtenKeys(final Command command) {
        final Evaluation.Write write = (Evaluation.Write) evaluate(command);
        state.apply(++sequence, write.entries());
        return write.entries().stream()
                .map(e -> (e.isDeleted() ? "-" : "") + e.key())
                .filter(k -> !k.startsWith("o/"))
                .toList();
    }

    private List<String> faults(final Command command) {
        final Evaluation.Write write = (Evaluation.Write) evaluate(command);
        assertThat("only the outcome is written", write.entries().size(), is(1));
        final Value.CommandOutcome outcome =
                (Value.CommandOutcome) write.entries().get(0).value().get(0);
        assertThat(outcome.code(), is(422));
        return outcome.faults();
    }

    private CommandResult reply(final Command command) {
        return ((Evaluation.Reply) evaluate(command)).result();
    }

    @Test
    void onlyDifferencesAreWrittenAndRemovedPartsLeaveATombstone() {
        assertThat(
                writtenKeys(putConfiguration(1, List.of(validRoute("a"), validRoute("b")), POOLS, 0)),
                containsInAnyOrder(
                        "u/a|/", "u/b|/", "b/warm", "b/spare", "p/charter", "q/paper", "a/0000000000000000001"));
        assertThat(
                writtenKeys(putConfiguration(2, List.of(validRoute("a"), validRoute("c")), POOLS, 1)),
                containsInAnyOrder("-u/b|/", "u/c|/", "p/charter", "q/paper", "a/0000000000000000002"));
        assertThat(state.get("u/b|/").isPresent(), is(false));
        assertThat(
                state.policySince(1).stream().map(Entry::key).toList(),
                containsInAnyOrder("u/b|/", "u/c|/", "p/charter"));
    }

    @Test
    void repeatedDocumentIsAppliedAndANumberThatIsNotHigherIsRejected() {
        writtenKeys(putConfiguration(5, List.of(validRoute("a")), POOLS, 0));
        final Command.PutConfiguration repeated = putConfiguration(5, List.of(validRoute("a")), POOLS, 0);
        assertThat(reply(repeated), is(new CommandResult.Applied(1)));
        assertThat(
                faults(putConfiguration(5, List.of(validRoute("b")), POOLS, 5)),
                is(List.of("$.number: 5 is not higher than 5, which is in force")));
        assertThat(
                faults(putConfiguration(4, List.of(validRoute("b")), POOLS, -1)),
                is(List.of("$.number: 4 is not higher than 5, which is in force")));
    }

    @Test
    void oneOfTwoConcurrentConfigurationsIsAcceptedAndTheOtherGetsTheCurrentNumber() {
        final Evaluation.Write winner =
                (Evaluation.Write) evaluate(putConfiguration(1, List.of(validRoute("a")), POOLS, 0));
        winner.entries().forEach(e -> overlay.put(e.key(), e));
        assertThat(
                "the first one is accepted but not committed yet",
                reply(putConfiguration(2, List.of(validRoute("b")), POOLS, 0)),
                is(new CommandResult.Rejected(409, List.of("the configuration in force is number 1"), 1)));
        assertThat(
                "the same document under another command id",
                reply(putConfiguration(1, List.of(validRoute("a")), POOLS, 0)),
                is(new CommandResult.Applied(1)));
        assertThat(
                ((Evaluation.Write) state.evaluate(
                                putConfiguration(2, List.of(validRoute("b")), POOLS, 1), overlay, 2, new Stamp(2)))
                        .entries().stream()
                                .filter(Entry::isDeleted)
                                .map(Entry::key)
                                .toList(),
                is(List.of("u/a|/")));
    }

    private List<String> faultPaths(final List<Value.Route> routes, final List<Value.BackendPool> pools) {
        return faults(putConfiguration(1, routes, pools, 0)).stream()
                .map(fault -> fault.substring(0, fault.indexOf(':')))
                .toList();
    }

    @Test
    void everyFaultOfARouteIsReportedWithItsPath() {
        final Value.Route invalidRoute =
                new Value.Route("", "", "x", false, false, false, false, 0, -1, 0, 0, 0, List.of(""), List.of());
        final List<Value.Route> routes = List.of(
                validRoute("a"),
                route("a", "/", 1, new Value.WeightedBackend("cold", 2)),
                route("b", "/x/", 1, new Value.WeightedBackend("warm", 0)),
                route("c", "/x/", 1, new Value.WeightedBackend("warm", 3), new Value.WeightedBackend("spare", -1)),
                invalidRoute);
        assertThat(
                faultPaths(routes, POOLS),
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
    }

    @Test
    void routeThatNoRequestCouldMatchIsRejected() {
        assertThat(
                "hosts are compared ignoring case, so one of these routes would never match",
                faultPaths(List.of(validRoute("a.example"), validRoute("A.Example")), POOLS),
                is(List.of("$.rules[1]")));
        assertThat(
                "the port of a host is ignored, so the later routes would never match",
                faultPaths(
                        List.of(
                                validRoute("a.example:8443"),
                                validRoute("a.example"),
                                validRoute("[::1]"),
                                validRoute("[::1]:80")),
                        POOLS),
                is(List.of("$.rules[1]", "$.rules[3]")));
        assertThat(
                "routes whose hosts differ in more than the port are valid",
                faultPaths(List.of(validRoute("b.example:80"), validRoute("a:8443"), validRoute("a")), POOLS),
                is(List.of("$.rules[2]")));
    }

    @Test
    void everyFaultOfAPoolIsReportedWithItsPath() {
        assertThat(
                faultPaths(List.of(), List.of(pool("a"), pool("a"), pool(""))),
                containsInAnyOrder("$.pools[1].name", "$.pools[2].name"));
    }

    @Test
    void rejectionOfALargeConfigurationStoresLittle() {
        final List<Value.Route> routes = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            routes.add(route(
                    "h".repeat(2_000) + i, "p".repeat(5_000), 0, new Value.WeightedBackend("none".repeat(1_000), 1)));
        }
        final List<String> faults = faults(putConfiguration(1, routes, POOLS, 0));
        assertThat(faults.size(), is(20));
        assertThat(faults.stream().mapToInt(String::length).max().orElse(0), lessThanOrEqualTo(256));
        for (int i = 0; i <= ConfigurationValidator.MAX_ROUTES; i++) {
            routes.add(validRoute("h" + i));
        }
        assertThat(faults(putConfiguration(1, routes, POOLS, 0)), is(List.of("$.rules: at most 20000, not 25001")));
        assertThat(
                evaluate(putConfiguration(1, routes.subList(5_000, 25_000), POOLS, 0)),
                instanceOf(Evaluation.Write.class));
    }
}
