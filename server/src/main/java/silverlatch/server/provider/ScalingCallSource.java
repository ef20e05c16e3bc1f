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
 * Has the numbers of workers set that {@link ScalingPolicy} wants. A count is ordered until it is accepted, and not again. Of a call without
 * an answer nobody knows whether it took effect, so whatever is wanted then is ordered anew; of several, the one that waited longest.
 */
public final class ScalingCallSource implements CallSource {
    /** Demand is reported about once a second. */
    static final long DECISION_INTERVAL_MICROS = 1_000_000L;

    private static final long NEVER = Long.MIN_VALUE / 2;
    private final LongFunction<Optional<ScalingObservation>> observationAt;
    private final Map<PoolInZone, Integer> acceptedCounts = new HashMap<>();
    private final Map<PoolInZone, Integer> refusedCounts = new HashMap<>();
    private final Map<PoolInZone, Long> lastOutcomeAt = new HashMap<>();
    private ScalingState state = ScalingState.NONE;
    private long lastDecisionAt = NEVER;

    /** What the provider keeps one count for. */
    private record PoolInZone(String pool, String zone) {
        static PoolInZone of(final WorkerTarget target) {
            return new PoolInZone(target.pool(), target.zone());
        }
    }

    /** A source that has decided nothing; what is known at a moment may be missing. */
    public ScalingCallSource(final LongFunction<Optional<ScalingObservation>> observationAt) {
        this.observationAt = observationAt;
    }

    @Override
    public Optional<ProviderCall> next(final long now) {
        if (now - lastDecisionAt >= DECISION_INTERVAL_MICROS) {
            lastDecisionAt = now;
            observationAt.apply(now).ifPresent(seen -> decide(seen, now));
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
        if (call instanceof ProviderCall.SetWorkerCount order) {
            final CloudProvider.WorkerCount target = order.target();
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

    /** Another owner may have ordered other counts: what this one decides next is compared with the workers that it then knows. */
    @Override
    public void reset() {
        state = ScalingState.NONE;
        lastDecisionAt = NEVER;
        acceptedCounts.clear();
        refusedCounts.clear();
        lastOutcomeAt.clear();
    }
}
