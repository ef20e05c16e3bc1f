package silverlatch.server.provider;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import silverlatch.node.Event;
import silverlatch.scaling.ScalingObservation;
import silverlatch.scaling.ScalingPolicy;
import silverlatch.scaling.ScalingState;
import silverlatch.scaling.WorkerTarget;
import silverlatch.server.eventloop.EventLog;

/**
 * Sets the numbers of workers that {@link ScalingPolicy} decides on. A call is repeated until its count is accepted or refused, and
 * not made again with the same count. After a call with unknown outcome, which may have taken effect, the current target is set
 * again even if it was accepted before. If several calls are due, the one whose last outcome is the oldest comes first.
 */
public final class ScalingCallSource implements CallSource {
    /** The interval between decisions; gateways report their demand about once a second. */
    static final long DECISION_INTERVAL_MICROS = 1_000_000L;

    private static final long NEVER = Long.MIN_VALUE / 2;
    private final LongFunction<Optional<ScalingObservation>> observationAt;
    private final Map<PoolInZone, Integer> acceptedCounts = new HashMap<>();
    private final Map<PoolInZone, Integer> refusedCounts = new HashMap<>();
    private final Map<PoolInZone, Long> lastOutcomeAt = new HashMap<>();
    private ScalingState state = ScalingState.NONE;
    private long lastDecisionAt = NEVER;

    /** A pool in a zone, for which the provider holds one count. */
    private record PoolInZone(String pool, String zone) {
        static PoolInZone of(final WorkerTarget target) {
            return new PoolInZone(target.pool(), target.zone());
        }
    }

    /** Creates a source without decisions; the function returns the input of a decision at a time, or empty if it is unavailable. */
    public ScalingCallSource(final LongFunction<Optional<ScalingObservation>> observationAt) {
        this.observationAt = observationAt;
    }

    @Override
    public Optional<ProviderCall> next(final long now) {
        if (now - lastDecisionAt >= DECISION_INTERVAL_MICROS) {
            lastDecisionAt = now;
            observationAt.apply(now).ifPresent(observation -> decide(observation, now));
        }
        return state.targets().stream()
                .filter(this::needsCall)
                .min(Comparator.comparingLong(target -> lastOutcomeAt.getOrDefault(PoolInZone.of(target), NEVER)))
                .map(target -> new ProviderCall.SetWorkerCount(
                        new CloudProvider.WorkerCount(target.pool(), target.zone(), target.count())));
    }

    private void decide(final ScalingObservation observation, final long now) {
        final ScalingState decided = ScalingPolicy.decide(state, observation, now);
        decided.targets().stream()
                .filter(target -> !state.targets().contains(target))
                .forEach(target -> EventLog.write(
                        Event.WORKER_COUNT,
                        target.count() + " of " + target.pool() + " in " + target.zone() + ": " + target.reason()));
        state = decided;
    }

    private boolean needsCall(final WorkerTarget target) {
        final Optional<Integer> count = Optional.of(target.count());
        return !count.equals(Optional.ofNullable(acceptedCounts.get(PoolInZone.of(target))))
                && !count.equals(Optional.ofNullable(refusedCounts.get(PoolInZone.of(target))));
    }

    @Override
    public void onOutcome(final ProviderCall call, final CloudProvider.Outcome outcome, final long now) {
        if (call instanceof ProviderCall.SetWorkerCount setWorkerCount) {
            final CloudProvider.WorkerCount target = setWorkerCount.target();
            final PoolInZone poolInZone = new PoolInZone(target.pool(), target.zone());
            lastOutcomeAt.put(poolInZone, now);
            switch (outcome) {
                case ACCEPTED -> {
                    acceptedCounts.put(poolInZone, target.count());
                    refusedCounts.remove(poolInZone);
                }
                case REFUSED -> refusedCounts.put(poolInZone, target.count());
                case UNKNOWN -> acceptedCounts.remove(poolInZone);
                case FENCED, THROTTLED -> {}
            }
        }
    }

    /**
     * Discards all decisions and outcomes. Another owner may have set other counts, so the next decision is based on the workers
     * that are known then.
     */
    @Override
    public void reset() {
        state = ScalingState.NONE;
        lastDecisionAt = NEVER;
        acceptedCounts.clear();
        refusedCounts.clear();
        lastOutcomeAt.clear();
    }
}
