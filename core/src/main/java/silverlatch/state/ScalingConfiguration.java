package silverlatch.state;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads from a state the configuration that autoscaling depends on. */
public final class ScalingConfiguration {
    private ScalingConfiguration() {}

    /** Returns the pools whose number of workers may be changed, with their limits. */
    public static List<Value.PoolScaling> scalings(final StateMachine state) {
        return values(state, EntryKeys.POOL_SCALINGS, Value.PoolScaling.class).toList();
    }

    /** Returns the backend pools by name. */
    public static Map<String, Value.BackendPool> pools(final StateMachine state) {
        return values(state, ConfigurationValidator.POOL_PREFIX, Value.BackendPool.class)
                .collect(Collectors.toMap(Value.BackendPool::name, Function.identity()));
    }

    /** Returns the zones that are being evacuated. */
    public static Set<String> evacuatedZones(final StateMachine state) {
        return values(state, EntryKeys.EVACUATIONS, Value.Evacuation.class)
                .filter(Value.Evacuation::active)
                .map(Value.Evacuation::zone)
                .collect(Collectors.toSet());
    }

    private static <T extends Value> Stream<T> values(
            final StateMachine state, final String prefix, final Class<T> type) {
        return state.entriesWithPrefix(prefix).values().stream()
                .flatMap(entry -> entry.value().stream())
                .map(type::cast);
    }
}
