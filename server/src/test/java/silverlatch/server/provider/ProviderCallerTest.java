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

/** The calls of a process that owns the role under token 4, on a fake clock; windows 1 to 9 are closed. */
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

    /** Wants one number of workers until that is accepted. */
    private static final class WorkerCountSource implements CallSource {
        private Optional<Integer> wanted = Optional.empty();
        private final List<Outcome> outcomes = new ArrayList<>();
        private int resets;

        @Override
        public Optional<ProviderCall> next(final long now) {
            return wanted.map(
                    count -> new ProviderCall.SetWorkerCount(new CloudProvider.WorkerCount("pool", "zone", count)));
        }

        @Override
        public void onOutcome(final ProviderCall call, final Outcome outcome, final long now) {
            outcomes.add(outcome);
            wanted = outcome == Outcome.ACCEPTED ? Optional.empty() : wanted;
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

    private void pass(final long duration) {
        for (final long end = now + duration; now < end; now += TICK) {
            caller.tick();
        }
    }

    /** Passes time until the next call is made, and answers it. */
    private void answerNext(final Outcome outcome) {
        final int before = provider.calls().size();
        for (int i = 0; i < 100 && provider.calls().size() == before; i++) {
            pass(TICK);
        }
        provider.last().outcome().complete(outcome);
    }

    @Test
    void nothingIsCalledBeforeAWholeTenureNorWithoutTheRole() {
        token = Optional.empty();
        pass(2 * TENURE);
        token = Optional.of(4L);
        pass(TENURE);
        assertThat(provider.calls(), hasSize(0));
        pass(TICK);
        assertThat(provider.calls(), hasSize(1));
        assertThat(provider.last().holder(), is("holder"));
        assertThat(provider.last().token(), is(4L));
    }

    @Test
    void oneCallAtATimeIsMadeWhileTheProviderIsSlowOrSilent() {
        pass(TENURE + 10 * SECOND);
        assertThat(provider.subjects(), contains("usage 1"));
        provider.last().outcome().complete(Outcome.ACCEPTED);
        pass(TICK);
        assertThat(provider.subjects(), contains("usage 1", "usage 2"));
    }

    @Test
    void callsStayBelowTheSharedRate() {
        pass(TENURE);
        final long from = now;
        for (int i = 0; i < 9; i++) {
            answerNext(Outcome.ACCEPTED);
        }
        assertThat("8 pauses at 4 a second", now - from, greaterThan(2 * SECOND - 1));
    }

    @Test
    void aWindowWhoseOutcomeIsUnknownIsRepeatedWithTheSameNumberUntilItIsAccepted() {
        pass(TENURE);
        answerNext(Outcome.UNKNOWN);
        answerNext(Outcome.THROTTLED);
        answerNext(Outcome.ACCEPTED);
        answerNext(Outcome.REFUSED);
        answerNext(Outcome.ACCEPTED);
        assertThat(provider.subjects(), contains("usage 1", "usage 1", "usage 1", "usage 2", "usage 3"));
    }

    @Test
    void pausesGrowWhileTheProviderIsDownAndAreShortAgainAfterwards() {
        pass(TENURE);
        for (int i = 0; i < 10; i++) {
            answerNext(Outcome.UNKNOWN);
        }
        final int calls = provider.calls().size();
        final long from = now;
        answerNext(Outcome.ACCEPTED);
        assertThat("long, but bounded", now - from, is(lessThanOrEqualTo(2 * SECOND)));
        assertThat(now - from, greaterThan(SECOND / 2));
        answerNext(Outcome.UNKNOWN);
        answerNext(Outcome.ACCEPTED);
        assertThat(provider.calls(), hasSize(calls + 3));
        assertThat("short again", now - from, is(lessThanOrEqualTo(4 * SECOND)));
    }

    @Test
    void aSourceWhoseCallsFailDoesNotHoldUpTheOthers() {
        workerCounts.wanted = Optional.of(6);
        pass(TENURE);
        answerNext(Outcome.UNKNOWN);
        answerNext(Outcome.ACCEPTED);
        assertThat(provider.subjects(), contains("usage 1", "workers 6"));
        assertThat(workerCounts.outcomes, contains(Outcome.ACCEPTED));
    }

    @Test
    void afterARefusedTokenNothingIsCalledUnderItButUnderALaterOne() {
        pass(TENURE);
        answerNext(Outcome.FENCED);
        pass(20 * SECOND);
        assertThat(provider.calls(), hasSize(1));
        token = Optional.of(5L);
        answerNext(Outcome.ACCEPTED);
        assertThat(provider.last().token(), is(5L));
        assertThat(provider.subjects(), contains("usage 1", "usage 1"));
    }

    @Test
    void anOwnerThatComesBackAfterAnotherOneWaitsAndForgetsWhatItHadCalled() {
        pass(TENURE);
        answerNext(Outcome.ACCEPTED);
        pass(SECOND);
        final ScriptedProvider.Call late = provider.last();
        token = Optional.empty();
        pass(SECOND);
        token = Optional.of(6L);
        pass(TENURE);
        assertThat(provider.calls(), hasSize(2));
        assertThat("at the start, and anew", workerCounts.resets, is(2));
        late.outcome().complete(Outcome.FENCED);
        pass(SECOND);
        assertThat("a late outcome of the earlier token", provider.last().token(), is(6L));
    }

    @Test
    void theRoleIsLookedAtInTheInstantOfTheCall() {
        pass(TENURE);
        final ProviderCaller hesitant = new ProviderCaller(
                settings,
                provider,
                List.of(usage),
                at -> at == now ? token : Optional.empty(),
                this::slowClock,
                Runnable::run,
                new SplittableRandom(7));
        hesitant.tick();
        now += TENURE;
        hesitant.tick();
        assertThat("the role was lost between", provider.calls(), hasSize(0));
    }

    /** A clock that moves on with each look, as where the process is stopped for a moment. */
    private long slowClock() {
        return looks++ % 2 == 0 ? now : now + SECOND;
    }

    private int looks;
}
