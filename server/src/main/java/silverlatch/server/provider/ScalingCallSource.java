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
    private final LongFunction<Optional<ScalingObservation>> observe;
    private final Map<Subject, Integer> accepted = new HashMap<>();
    private final Map<Subject, Integer> refused = new HashMap<>();
    private final Map<Subject, Long> triedAt = new HashMap<>();
    private ScalingState state = ScalingState.NONE;
    private long decidedAt = NEVER;

    /** What the provider keeps one count for. */
    private record Subject(String pool, String zone) {
        static Subject of(final WorkerTarget target) {
            return new Subject(target.pool(), target.zone());
        }
    }

    /** A source that has decided nothing; what is known at a moment may be missing. */
    public ScalingCallSource(final LongFunction<Optional<ScalingObservation>> observe) {
        this.observe = observe;
    }

    @Override
    public Optional<ProviderCall> next(final long now) {
        if (now - decidedAt >= DECISION_INTERVAL_MICROS) {
            decidedAt = now;
            observe.apply(now).ifPresent(seen -> decide(seen, now));
        }
        return state.targets().stream()
                .filter(this::isToBeOrdered)
                .min(Comparator.comparingLong(target -> triedAt.getOrDefault(Subject.of(target), NEVER)))
                .map(target -> new ProviderCall.SetWorkerCount(
                        new CloudProvider.WorkerCount(target.pool(), target.zone(), target.count())));
    }

    private void decide(final ScalingObservation seen, final long now) {
        final ScalingState decided = ScalingPolicy.decide(state, seen, now);
        decided.targets().stream()
                .filter(target -> !state.targets().contains(target))
                .forEach(target -> EventLog.write(
                        Event.WORKER_COUNT,
                        target.count() + " of " + target.pool() + " in " + target.zone() + ": " + target.reason()));
        state = decided;
    }

    private boolean isToBeOrdered(final WorkerTarget target) {
        final Optional<Integer> count = Optional.of(target.count());
        return !count.equals(Optional.ofNullable(accepted.get(Subject.of(target))))
                && !count.equals(Optional.ofNullable(refused.get(Subject.of(target))));
    }

    @Override
    public void onOutcome(final ProviderCall call, final CloudProvider.Outcome outcome, final long now) {
        if (call instanceof ProviderCall.SetWorkerCount order) {
            final CloudProvider.WorkerCount target = order.target();
            final Subject subject = new Subject(target.pool(), target.zone());
            triedAt.put(subject, now);
            switch (outcome) {
                case ACCEPTED -> {
                    accepted.put(subject, target.count());
                    refused.remove(subject);
                }
                case REFUSED -> refused.put(subject, target.count());
                case UNKNOWN -> accepted.remove(subject);
                case FENCED, THROTTLED -> {}
            }
        }
    }

    /** Another owner may have ordered other counts: what this one decides next is compared with the workers that it then knows. */
    @Override
    public void reset() {
        state = ScalingState.NONE;
        decidedAt = NEVER;
        accepted.clear();
        refused.clear();
        triedAt.clear();
    }
}
