package silverlatch.server.provider;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import silverlatch.node.Event;
import silverlatch.replication.SingletonTenure;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.settings.SingletonSettings;

/**
 * Makes the calls to the cloud provider while this process owns the singleton role: one call at a time, each with the fencing
 * token that is valid when it is made. Calls are made only after a full {@link SingletonTenure}, never with a token that the
 * provider has rejected as too low, and below the rate that the provider allows for all processes together. After a call that was
 * throttled or whose outcome is unknown, it backs off exponentially.
 *
 * <p>Owned by the controller's event loop. Times are microseconds of the monotonic clock.
 */
public final class ProviderCaller {
    /** The share of the provider's rate limit that is used: the previous owner may have made calls in the same second. */
    private static final double RATE_SHARE = 0.8;

    private static final double MICROS_PER_SECOND = 1_000_000;

    /**
     * The time after which the outcome of a call counts as unknown. {@link CloudProvider} aborts its calls earlier; this timeout
     * covers an outcome that was lost within this process.
     */
    private static final long OUTCOME_TIMEOUT_MICROS = 5_000_000L;

    private static final long NO_TOKEN = -1;
    private final SingletonSettings settings;
    private final CloudProvider provider;
    private final List<CallSource> sources;
    private final LongFunction<Optional<Long>> fencingToken;
    private final LongSupplier clock;
    private final Executor eventLoop;
    private final SingletonTenure tenure;
    private final CallBackoff backoff;
    private final Map<CloudProvider.Outcome, Long> counters = new EnumMap<>(CloudProvider.Outcome.class);
    private Optional<CallInFlight> inFlight = Optional.empty();
    private int firstSourceIndex;
    private long nextCallAt = Long.MIN_VALUE;
    private long fencedToken = NO_TOKEN;

    /**
     * Creates a caller that has made no calls.
     *
     * @param sources      the sources of calls, by descending priority
     * @param fencingToken returns the token under which this process owns the role at a time, if it does; called on the event loop
     * @param clock        the monotonic clock in microseconds
     * @param eventLoop    runs tasks on the event loop
     * @param random       provides the jitter of the backoff
     */
    public ProviderCaller(
            final SingletonSettings settings,
            final CloudProvider provider,
            final List<CallSource> sources,
            final LongFunction<Optional<Long>> fencingToken,
            final LongSupplier clock,
            final Executor eventLoop,
            final RandomGenerator random) {
        this.settings = settings;
        this.provider = provider;
        this.sources = List.copyOf(sources);
        this.fencingToken = fencingToken;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.tenure = new SingletonTenure(settings.tenureMicros());
        this.backoff = new CallBackoff(random);
    }

    private record CallInFlight(CallSource source, ProviderCall call, long fencingToken, long madeAt) {}

    /** Makes the next call, if one is due. */
    public void tick() {
        final long now = clock.getAsLong();
        final Optional<Long> token = fencingToken.apply(now);
        if (tenure.observe(token, now)) {
            inFlight = Optional.empty();
            backoff.reset();
            sources.forEach(CallSource::reset);
        }
        inFlight.filter(call -> now - call.madeAt() >= OUTCOME_TIMEOUT_MICROS)
                .ifPresent(call -> onOutcome(call, CloudProvider.Outcome.UNKNOWN));
        if (token.isPresent() && inFlight.isEmpty() && now >= nextCallAt) {
            makeNext(now);
        }
    }

    /** Returns the number of calls by outcome. */
    public Map<CloudProvider.Outcome, Long> counters() {
        return Map.copyOf(counters);
    }

    private void makeNext(final long now) {
        for (int i = 0; i < sources.size(); i++) {
            final CallSource source = sources.get((firstSourceIndex + i) % sources.size());
            final Optional<ProviderCall> call = source.next(now);
            if (call.isPresent()) {
                make(source, call.get());
                return;
            }
        }
    }

    /** Makes a call with the current fencing token. The token is read again because time may have passed since the tick began. */
    private void make(final CallSource source, final ProviderCall call) {
        final long now = clock.getAsLong();
        final Optional<Long> token =
                fencingToken.apply(now).filter(owned -> tenure.mayAct(owned, now) && owned > fencedToken);
        if (token.isEmpty()) {
            return;
        }
        final CallInFlight made = new CallInFlight(source, call, token.get(), now);
        inFlight = Optional.of(made);
        nextCallAt = now + (long) Math.ceil(MICROS_PER_SECOND / (settings.maxCallsPerSecond() * RATE_SHARE));
        call.make(provider, new CloudProvider.Caller(settings.holderName(), token.get()))
                .thenAccept(outcome -> eventLoop.execute(() -> onOutcome(made, outcome)));
    }

    private void onOutcome(final CallInFlight made, final CloudProvider.Outcome outcome) {
        if (inFlight.filter(call -> call == made).isEmpty()) {
            return;
        }
        final long now = clock.getAsLong();
        inFlight = Optional.empty();
        counters.merge(outcome, 1L, Long::sum);
        final boolean isAccepted = outcome == CloudProvider.Outcome.ACCEPTED;
        EventLog.write(
                isAccepted ? Event.PROVIDER_CALLED : Event.PROVIDER_FAILED,
                outcome + " " + made.call().summary() + " under token " + made.fencingToken() + " after "
                        + (now - made.madeAt()) / 1000 + " ms");
        switch (outcome) {
            case ACCEPTED, REFUSED -> backoff.reset();
            case FENCED -> fencedToken = made.fencingToken();
            case THROTTLED, UNKNOWN -> nextCallAt = Math.max(nextCallAt, now + backoff.next());
        }
        firstSourceIndex = isAccepted ? 0 : (sources.indexOf(made.source()) + 1) % sources.size();
        made.source().onOutcome(made.call(), outcome, now);
    }
}
