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

/** Small configurations for tests of whole clusters, and their numbers as the cluster holds them. */
final class Configurations {
    private Configurations() {}

    /** Returns a command that puts a configuration of one route and one pool. */
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

    /** Returns the same with one tenant, whose only key has this digest. */
    static Command.PutFullConfiguration withTenant(final long number, final long match, final String keyDigest) {
        return new Command.PutFullConfiguration(
                configuration("tenant-" + number, number, match),
                true,
                List.of(new Value.TenantAccess("a", List.of(keyDigest), Value.TenantAccess.ROUTE_PRIORITY, List.of())),
                List.of(),
                List.of());
    }

    /** Returns the number of the configuration that a command puts, if it puts one. */
    static Optional<Long> number(final Command command) {
        return switch (command) {
            case Command.PutConfiguration put -> Optional.of(put.configuration().number());
            case Command.PutFullConfiguration put ->
                Optional.of(put.base().configuration().number());
            default -> Optional.empty();
        };
    }

    /** Returns the digests of the keys of the tenant that a gateway follows; empty where it follows none. */
    static List<String> keysFollowed(final Policy policy) {
        return policy.values()
                .filter(Value.TenantAccess.class::isInstance)
                .flatMap(tenant -> ((Value.TenantAccess) tenant).keyDigests().stream())
                .toList();
    }

    /** Returns the number that a read of the configuration was answered, if it was; 0 where there is no configuration. */
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

    /** Returns the number of the configuration that a state holds, or 0. */
    static long numberHeld(final StateMachine state) {
        return state.get(ConfigurationValidator.CONFIGURATION_KEY)
                .map(Configurations::number)
                .orElse(0L);
    }

    private static long number(final Entry entry) {
        return ((Value.RoutingConfiguration) entry.value().get(0)).number();
    }
}
