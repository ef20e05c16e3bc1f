package silverlatch.node;

import java.util.List;
import java.util.Optional;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/** Creates small configurations for tests of simulated clusters, and reads configuration numbers from a cluster's state. */
final class Configurations {
    private Configurations() {}

    /** Returns a command that stores a configuration of one route and one pool. */
    static Command.PutConfiguration configuration(final String id, final long number, final long match) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "route",
                "host" + number,
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
                id,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                "document " + id,
                match);
    }

    /** Returns a command that stores such a configuration with one tenant, whose only key has the given digest. */
    static Command.PutFullConfiguration withTenant(final long number, final long match, final String keyDigest) {
        return new Command.PutFullConfiguration(
                configuration("tenant-" + number, number, match),
                true,
                List.of(new Value.TenantAccess("a", List.of(keyDigest), Value.TenantAccess.ROUTE_PRIORITY, List.of())),
                List.of(),
                List.of());
    }

    /** Returns the number of the configuration that a command stores, if it stores one. */
    static Optional<Long> number(final Command command) {
        return switch (command) {
            case Command.PutConfiguration put -> Optional.of(put.configuration().number());
            case Command.PutFullConfiguration put ->
                Optional.of(put.base().configuration().number());
            default -> Optional.empty();
        };
    }

    /** Returns the digests of the tenant keys in a gateway's policy; empty if it has no tenant. */
    static List<String> keysFollowed(final Policy policy) {
        return policy.values()
                .filter(Value.TenantAccess.class::isInstance)
                .flatMap(tenant -> ((Value.TenantAccess) tenant).keyDigests().stream())
                .toList();
    }

    /** Returns the configuration number in the first served read, if a read was served; 0 if there is no configuration. */
    static Optional<Long> numberRead(final List<Object> answers) {
        return answers.stream()
                .map(answer -> (ChainClient.ReadResult) answer)
                .filter(ChainClient.ReadResult::answered)
                .map(result -> result.entries().stream()
                        .map(Configurations::number)
                        .findFirst()
                        .orElse(0L))
                .findFirst();
    }

    /** Returns the number of the configuration in a state, or 0 if there is none. */
    static long numberHeld(final StateMachine state) {
        return state.get(ConfigurationValidator.CONFIGURATION_KEY)
                .map(Configurations::number)
                .orElse(0L);
    }

    private static long number(final Entry entry) {
        return ((Value.RoutingConfiguration) entry.value().get(0)).number();
    }
}
