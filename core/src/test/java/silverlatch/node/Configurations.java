package silverlatch.node;

import java.util.List;
import java.util.Optional;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
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
