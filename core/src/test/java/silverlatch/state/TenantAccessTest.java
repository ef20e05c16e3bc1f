package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.replication.LogEntry;
import silverlatch.util.Digests;
import silverlatch.wire.Codec;

/**
 * Tests the parts of a routing configuration that were added in a later version: tenants, public routes and scaling
 * limits. Guards against ambiguous or empty keys, and against parts that are lost when processes of an older version
 * submit the configuration.
 */
final class TenantAccessTest {
    private static final List<String> ALL_LATER_PARTS = List.of(
            EntryKeys.TENANT_ACCESS, EntryKeys.PUBLIC_ROUTES, EntryKeys.ACCESS_CONTROL, EntryKeys.POOL_SCALINGS);
    private static final Value.PublicRoute PUBLIC = new Value.PublicRoute("a", "/");
    private final StateMachine state = new StateMachine();
    private long sequence;

    private static Command.PutConfiguration base(final long number, final String document) {
        return new Command.PutConfiguration(
                "id-" + number + document,
                new Value.RoutingConfiguration(number, 8_192, 1 << 20, 1, 1),
                List.of(new Value.Route(
                        "rule",
                        "a",
                        "/",
                        true,
                        false,
                        false,
                        true,
                        1_000,
                        0,
                        0,
                        0,
                        1,
                        List.of(),
                        List.of(new Value.WeightedBackend("warm", 1)))),
                List.of(new Value.BackendPool("warm", "/health/", 8, 1_000_000, 2, 16, 100_000, 4)),
                document,
                number - 1);
    }

    private static Command.PutFullConfiguration put(final long number, final Value.TenantAccess... tenants) {
        return put(number, List.of(), List.of(), tenants);
    }

    private static Command.PutFullConfiguration put(
            final long number,
            final List<Value.PublicRoute> publicRoutes,
            final List<Value.PoolScaling> scalings,
            final Value.TenantAccess... tenants) {
        return new Command.PutFullConfiguration(
                base(
                        number,
                        "document "
                                + List.of(List.of(tenants), publicRoutes, scalings)
                                        .hashCode()),
                true,
                List.of(tenants),
                publicRoutes,
                scalings);
    }

    private static Value.TenantAccess tenant(final String name, final String... keys) {
        return new Value.TenantAccess(
                name,
                List.of(keys).stream().map(Digests::sha256Hex).toList(),
                Value.TenantAccess.ROUTE_PRIORITY,
                List.of());
    }

    private Evaluation evaluate(final Command command) {
        return state.evaluate(command, Map.of(), sequence + 1, new Stamp(sequence + 1));
    }

    /**
     * Applies a command that must be accepted. Returns the keys of the later parts that it wrote; a leading dash marks
     * a deletion.
     */
    private List<String> accept(final Command command) {
        final Evaluation.Write write = (Evaluation.Write) evaluate(command);
        assertThat(outcome(write).faults(), is(empty()));
        state.apply(++sequence, write.entries());
        return write.entries().stream()
                .filter(entry -> ALL_LATER_PARTS.stream().anyMatch(entry.key()::startsWith))
                .map(entry -> (entry.isDeleted() ? "-" : "") + entry.key())
                .toList();
    }

    private static Value.CommandOutcome outcome(final Evaluation.Write write) {
        return write.entries().stream()
                .flatMap(entry -> entry.value().stream())
                .filter(Value.CommandOutcome.class::isInstance)
                .map(Value.CommandOutcome.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private List<String> faults(final Command command) {
        final Evaluation.Write write = (Evaluation.Write) evaluate(command);
        assertThat("only the outcome is written", write.entries().size(), is(1));
        return outcome(write).faults();
    }

    private Optional<Value> storedValue(final String key) {
        return state.get(key).map(entry -> entry.value().get(0));
    }

    @Test
    void twoTenantsWithTheSameKeyAreRejectedAndNothingChanges() {
        accept(put(1, tenant("a", "k1")));
        assertThat(
                faults(put(2, tenant("a", "k1"), tenant("b", "k2", "k1"))),
                contains("$.tenants[1].keys[1]: also a key of tenant 'a'"));
        assertThat(storedValue("n/a"), is(Optional.of(tenant("a", "k1"))));
        assertThat(storedValue("n/b"), is(Optional.empty()));
    }

    @Test
    void tenantWithAnInvalidNameOrKeyIsRejected() {
        final Value.TenantAccess malformed = new Value.TenantAccess("c", List.of("K1"), -2, List.of("attica", ""));
        assertThat(
                faults(put(
                                1,
                                tenant("", "k1"),
                                tenant("a", "k2"),
                                tenant("a", "k3"),
                                tenant("a\r\nb", "k4"),
                                tenant("b", ""),
                                malformed))
                        .stream()
                        .map(fault -> fault.substring(0, fault.indexOf(':')))
                        .toList(),
                containsInAnyOrder(
                        "$.tenants[0].name",
                        "$.tenants[2].name",
                        "$.tenants[3].name",
                        "$.tenants[4].keys[0]",
                        "$.tenants[5].keys[0]",
                        "$.tenants[5].rank",
                        "$.tenants[5].homes[1]"));
    }

    @Test
    void keyListedTwiceForOneTenantIsStoredOnce() {
        accept(put(1, tenant("a", "k1", "k1")));
        assertThat(storedValue("n/a"), is(Optional.of(tenant("a", "k1"))));
    }

    @Test
    void keyMayMoveToAnotherTenantAndOnlyDifferencesAreWritten() {
        assertThat(
                accept(put(1, List.of(PUBLIC), List.of(), tenant("a", "k1", "k2"), tenant("b"), tenant("c", "k3"))),
                containsInAnyOrder("n/a", "n/b", "n/c", "v/a|/", "p/access"));
        assertThat(
                accept(put(2, List.of(PUBLIC), List.of(), tenant("a", "k1"), tenant("b", "k2"), tenant("c", "k3"))),
                containsInAnyOrder("n/a", "n/b"));
        assertThat(storedValue("n/b"), is(Optional.of(tenant("b", "k2"))));
        assertThat(accept(put(3, tenant("b", "k2"), tenant("c", "k3"))), containsInAnyOrder("-n/a", "-v/a|/"));
    }

    @Test
    void configurationWithoutTenantsRemovesThemAndTheNeedForKeys() {
        accept(put(1, List.of(PUBLIC), List.of(new Value.PoolScaling("warm", 1, 2, 3)), tenant("a", "k1")));
        assertThat(storedValue("p/access"), is(Optional.of(new Value.AccessControl(true))));
        assertThat(accept(base(2, "plain")), containsInAnyOrder("-n/a", "-v/a|/", "-p/access", "-s/warm"));
        assertThat("keys are required although there are no tenants", accept(put(3)), contains("p/access"));
    }

    @Test
    void changeOfASingleKeyRaisesThePolicyRevision() {
        accept(put(1, tenant("a", "k1"), tenant("b", "k2")));
        final long before = state.policyRevision();
        accept(put(2, tenant("a", "k3"), tenant("b", "k2")));
        assertThat(state.policySince(before).stream().map(Entry::key).toList(), containsInAnyOrder("n/a", "p/charter"));
    }

    @Test
    void repeatedCommandGetsItsFirstResultAndAnotherDocumentIsRejected() {
        final Command.PutFullConfiguration first = put(1, tenant("a", "k1"));
        accept(first);
        accept(put(2, tenant("a", "k2")));
        assertThat(evaluate(first.with("another id", 0)), is(new Evaluation.Reply(new CommandResult.Applied(1))));
        assertThat(
                ((CommandResult.Rejected) ((Evaluation.Reply) evaluate(put(2, tenant("a", "k4")))).result()).code(),
                is(409));
    }

    @Test
    void partsThatAnOlderVersionIgnoredAreWrittenWhenTheDocumentInForceIsSentAgain() {
        final Command.PutFullConfiguration full = put(1, tenant("a", "k1"));
        accept(full.base());
        assertThat(storedValue("p/access"), is(Optional.empty()));
        assertThat(accept(full.with("again", 0)), containsInAnyOrder("n/a", "p/access"));
        assertThat(
                "the missing parts are in force now",
                evaluate(full.with("once more", 0)),
                is(new Evaluation.Reply(new CommandResult.Applied(2))));
        assertThat(
                "a command of an older version removes nothing",
                evaluate(full.with("older", 0).base()),
                is(new Evaluation.Reply(new CommandResult.Applied(2))));
    }

    @Test
    void invalidScalingLimitsAndPublicRoutesAreRejected() {
        assertThat(
                faults(put(
                                1,
                                List.of(PUBLIC, PUBLIC, new Value.PublicRoute("b", "/")),
                                List.of(
                                        new Value.PoolScaling("warm", 1, 2, 0),
                                        new Value.PoolScaling("warm", 3, 2, 0),
                                        new Value.PoolScaling("none", -1, 2, -1))))
                        .stream()
                        .map(fault -> fault.substring(0, fault.indexOf(':')))
                        .toList(),
                containsInAnyOrder(
                        "$.rules",
                        "$.scalings[1].pool",
                        "$.scalings[1].max",
                        "$.scalings[2].pool",
                        "$.scalings[2].min",
                        "$.scalings[2].boot"));
    }

    private static Value.TenantAccess[] tenants(final String prefix, final int keysEach) {
        return IntStream.range(0, ConfigurationValidator.MAX_TENANTS)
                .mapToObj(i -> tenant(
                        prefix + i,
                        IntStream.range(0, keysEach).mapToObj(k -> i + "-" + k).toArray(String[]::new)))
                .toArray(Value.TenantAccess[]::new);
    }

    @Test
    void acceptedConfigurationFitsInOneFrame() {
        accept(put(1, tenants("tenant", 1)));
        final Command.PutConfiguration base = base(2, "d".repeat(ConfigurationValidator.MAX_DOCUMENT_BYTES));
        final Evaluation.Write allRenamed = (Evaluation.Write) evaluate(
                new Command.PutFullConfiguration(base, true, List.of(tenants("renamed", 1)), List.of(), List.of()));
        assertThat(outcome(allRenamed).faults(), is(empty()));
        assertThat(
                new Codec().encode(new LogEntry(1, 1, new Stamp(1), allRenamed.entries())).length,
                is(lessThan(Codec.MAX_BYTES)));
        assertThat(faults(put(2, tenants("tenant", 2))).toString(), containsString("$: its parts take "));
    }

    @Test
    void numberOfTenantsAndKeysIsLimited() {
        final Value.TenantAccess[] tenants = IntStream.rangeClosed(0, ConfigurationValidator.MAX_TENANTS)
                .mapToObj(i -> tenant("t" + i, "k" + i))
                .toArray(Value.TenantAccess[]::new);
        assertThat(faults(put(1, tenants)), contains("$.tenants: at most 50000, not 50001"));
        final String[] keys = IntStream.rangeClosed(0, ConfigurationValidator.MAX_KEYS)
                .mapToObj(i -> "k" + i)
                .toArray(String[]::new);
        assertThat(faults(put(1, tenant("a", keys))), contains("$.tenants: at most 100000 keys, not 100001"));
    }
}
