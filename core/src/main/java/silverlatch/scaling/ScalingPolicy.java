package silverlatch.scaling;

import java.util.HashMap;
import java.util.Map;
import silverlatch.state.Value;

/**
 * Decides how many workers each pool should have in each zone.
 *
 * <p>The worker count depends on the requests that are running and waiting in the zone, the load that the worst loss of
 * a zone or region would add, and the growth of the arrivals within the time that a new worker takes to start. A count
 * is raised immediately. It is lowered in steps, and only when fewer workers have been sufficient for a while. It is
 * not lowered while reports are missing, or while the load of an evacuated or silent zone is being moved. A worker that
 * crashes has no effect on the count: the provider restores it.
 */
public final class ScalingPolicy {
    private ScalingPolicy() {}

    /**
     * Makes a new decision.
     *
     * @param previous    the result of the last decision, or {@link ScalingState#NONE} if this process has made none
     * @param observation the current workers and demand
     * @param now         the monotonic clock time, in microseconds
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
