package silverlatch.server.provider;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.server.provider.CloudProvider.Outcome;
import silverlatch.server.settings.SingletonSettings;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.traffic.UsageOutbox;

/**
 * Guards against calls to the cloud provider by a process that no longer owns the singleton role, against calls beyond the rate
 * limit, and against a failing or silent provider that blocks further calls. Uses a fake clock; the process owns the role under
 * token 4, and usage windows 1 to 9 are closed.
 */
final class ProviderCallerTest {
    private static final long SECOND = 1_000_000;
    private static final long TENURE = 3 * SECOND;
    private static final long TICK = 50_000;
    private final SingletonSettings settings =
            new SingletonSettings("holder", true, true, 5, TENURE, 5 * SECOND, 10 * SECOND);
    private final ScriptedProvider provider = new ScriptedProvider();
    private final StateMachine state = new StateMachine();
    private final UsageCallSource usage = new UsageCallSource(new UsageOutbox(), () -> Optional.of(state));
    private final WorkerCountSource workerCounts = new WorkerCountSource();
    private Optional<Long> token = Optional.of(4L);
    private long now;
    private final ProviderCaller caller = new ProviderCaller(
            settings,
            provider,
            List.of(usage, workerCounts),
            at -> token,
            () -> now,
            Runnable::run,
            new SplittableRandom(7));

    /** Returns a call for the target count until that is accepted. */
    private static final class WorkerCountSource implements CallSource {
        private Optional<Integer> targetCount = Optional.empty();
        private final List<Outcome> outcomes = new ArrayList<>();
        private int resets;

        @Override
        public Optional<ProviderCall> next(final long now) {
            return targetCount.map(
                    count -> new ProviderCall.SetWorkerCount(new CloudProvider.WorkerCount("pool", "zone", count)));
        }

        @Override
        public void onOutcome(final ProviderCall call, final Outcome outcome, final long now) {
            outcomes.add(outcome);
            targetCount = outcome == Outcome.ACCEPTED ? Optional.empty() : targetCount;
        }

        @Override
        public void reset() {
            resets++;
        }
    }

    @BeforeEach
    void closeWindows() {
        for (long window = 1; window <= 9; window++) {
            state.apply(
                    window,
                    List.of(new Entry(
                            String.format("w/%019d", window),
                            window,
                            List.of(new Value.UsageWindow(window, List.of())))));
        }
    }

    private void advanceTime(final long duration) {
        for (final long end = now + duration; now < end; now += TICK) {
            caller.tick();
        }
    }

    /** Advances the time until the next call is made, and completes that call with an outcome. */
    private void completeNextCall(final Outcome outcome) {
        final int before = provider.calls().size();
        for (int i = 0; i < 100 && provider.calls().size() == before; i++) {
            advanceTime(TICK);
        }
        provider.last().outcome().complete(outcome);
    }

    @Test
    void noCallIsMadeWithoutTheRoleOrBeforeAFullTenure() {
        token = Optional.empty();
        advanceTime(2 * TENURE);
        token = Optional.of(4L);
        advanceTime(TENURE);
        assertThat(provider.calls(), hasSize(0));
        advanceTime(TICK);
        assertThat(provider.calls(), hasSize(1));
        assertThat(provider.last().holder(), is("holder"));
        assertThat(provider.last().token(), is(4L));
    }

    @Test
    void onlyOneCallIsInFlightWhileTheProviderIsSlow() {
        advanceTime(TENURE + 4 * SECOND);
        assertThat(provider.descriptions(), contains("usage 1"));
        provider.last().outcome().complete(Outcome.ACCEPTED);
        advanceTime(TICK);
        assertThat(provider.descriptions(), contains("usage 1", "usage 2"));
    }

    @Test
    void aLostOutcomeTimesOutAndTheCallIsRepeated() {
        advanceTime(TENURE + 7 * SECOND);
        assertThat(provider.descriptions(), contains("usage 1", "usage 1"));
        provider.calls().get(0).outcome().complete(Outcome.FENCED);
        completeNextCall(Outcome.ACCEPTED);
        assertThat("the late outcome is ignored", provider.last().token(), is(4L));
    }

    @Test
    void callsStayBelowTheShareOfTheProvidersRateLimit() {
        advanceTime(TENURE);
        final long from = now;
        for (int i = 0; i < 9; i++) {
            completeNextCall(Outcome.ACCEPTED);
        }
        assertThat("8 intervals at 4 calls per second", now - from, greaterThan(2 * SECOND - 1));
    }

    @Test
    void aWindowIsReportedAgainUntilItIsAcceptedOrRefused() {
        advanceTime(TENURE);
        completeNextCall(Outcome.UNKNOWN);
        completeNextCall(Outcome.THROTTLED);
        completeNextCall(Outcome.ACCEPTED);
        completeNextCall(Outcome.REFUSED);
        completeNextCall(Outcome.ACCEPTED);
        assertThat(provider.descriptions(), contains("usage 1", "usage 1", "usage 1", "usage 2", "usage 3"));
    }

    @Test
    void backoffGrowsWhileTheProviderFailsAndResetsAfterASuccess() {
        advanceTime(TENURE);
        for (int i = 0; i < 10; i++) {
            completeNextCall(Outcome.UNKNOWN);
        }
        final int calls = provider.calls().size();
        final long from = now;
        completeNextCall(Outcome.ACCEPTED);
        assertThat("long, but bounded", now - from, is(lessThanOrEqualTo(2 * SECOND)));
        assertThat(now - from, greaterThan(SECOND / 2));
        completeNextCall(Outcome.UNKNOWN);
        completeNextCall(Outcome.ACCEPTED);
        assertThat(provider.calls(), hasSize(calls + 3));
        assertThat("short again", now - from, is(lessThanOrEqualTo(4 * SECOND)));
    }

    @Test
    void aSourceWhoseCallsFailDoesNotDelayTheOthers() {
        workerCounts.targetCount = Optional.of(6);
        advanceTime(TENURE);
        completeNextCall(Outcome.UNKNOWN);
        completeNextCall(Outcome.ACCEPTED);
        assertThat(provider.descriptions(), contains("usage 1", "workers 6"));
        assertThat(workerCounts.outcomes, contains(Outcome.ACCEPTED));
    }

    @Test
    void aFencedTokenIsNotUsedAgainButALaterOneIs() {
        advanceTime(TENURE);
        completeNextCall(Outcome.FENCED);
        advanceTime(20 * SECOND);
        assertThat(provider.calls(), hasSize(1));
        token = Optional.of(5L);
        completeNextCall(Outcome.ACCEPTED);
        assertThat(provider.last().token(), is(5L));
        assertThat(provider.descriptions(), contains("usage 1", "usage 1"));
    }

    @Test
    void anOwnerThatRegainsTheRoleWaitsAFullTenureAndResetsItsSources() {
        advanceTime(TENURE);
        completeNextCall(Outcome.ACCEPTED);
        advanceTime(SECOND);
        final ScriptedProvider.Call late = provider.last();
        token = Optional.empty();
        advanceTime(SECOND);
        token = Optional.of(6L);
        advanceTime(TENURE);
        assertThat(provider.calls(), hasSize(2));
        assertThat("one reset at the first tenure, one at the second", workerCounts.resets, is(2));
        late.outcome().complete(Outcome.FENCED);
        advanceTime(SECOND);
        assertThat(
                "the late outcome of the earlier token is ignored",
                provider.last().token(),
                is(6L));
    }

    @Test
    void theFencingTokenIsReadAgainWhenTheCallIsMade() {
        advanceTime(TENURE);
        final ProviderCaller hesitant = new ProviderCaller(
                settings,
                provider,
                List.of(usage),
                at -> at == now ? token : Optional.empty(),
                this::pausingClock,
                Runnable::run,
                new SplittableRandom(7));
        hesitant.tick();
        now += TENURE;
        hesitant.tick();
        assertThat("the role was lost between tick and call", provider.calls(), hasSize(0));
    }

    /** A clock that is a second later at every second reading, as if the process was suspended between the two readings. */
    private long pausingClock() {
        return clockReadings++ % 2 == 0 ? now : now + SECOND;
    }

    private int clockReadings;
}
