package silverlatch.scaling;

import java.util.HashMap;
import java.util.Map;
import silverlatch.state.Value;

/**
 * Decides how many workers each pool is to have in each zone.
 *
 * <p>The count follows what runs and waits there, what would come in addition if the worst zone or region were lost, and how the arrivals
 * grow within the time that a new worker takes to start. It is raised at once. It is lowered only when fewer workers have been enough
 * for a while, in steps; and not at all while figures are missing, or while the load of an evacuated or silent zone is being moved. A worker that
 * crashes changes nothing: the provider restores it.
 */
public final class ScalingPolicy {
    private ScalingPolicy() {}

    /**
     * Decides anew.
     *
     * @param previous what the last decision returned, or {@link ScalingState#NONE} where this process made none
     */
    public static ScalingState decide(
            final ScalingState previous, final ScalingObservation observation, final long now) {
        final Map<String, ScalingState.PoolState> pools = new HashMap<>();
        for (final Value.PoolScaling bounds : observation.scalings()) {
            final String name = bounds.pool();
            if (observation.pools().containsKey(name)) {
                pools.put(name, new PoolDecision(bounds, previous.pool(name), observation, now).decide());
            }
        }
        return new ScalingState(pools);
    }
}
