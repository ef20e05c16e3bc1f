package silverlatch.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/**
 * Guards against windows that are never reported to the provider, and against a new owner that reports old windows
 * again.
 */
final class UsageOutboxTest {
    private static final Optional<Long> TOKEN = Optional.of(4L);
    private final StateMachine state = new StateMachine();
    private final UsageOutbox outbox = new UsageOutbox();

    @BeforeEach
    void closeThreeWindows() {
        for (long window = 10; window <= 12; window++) {
            final Entry entry = new Entry(
                    String.format("w/%019d", window), window, List.of(new Value.UsageWindow(window, List.of())));
            state.apply(window, List.of(entry));
        }
    }

    private Optional<Long> next(final UsageOutbox from) {
        return from.next(state).map(Value.UsageWindow::number);
    }

    private void commitMark(final long window) {
        state.apply(20, List.of(new Entry("m/usage-reported", 20, List.of(new Value.UsageReported(window)))));
    }

    @Test
    void closedWindowsAreReportedOnceAndInOrder() {
        assertThat(next(outbox), is(Optional.of(10L)));
        assertThat("the outcome isn't known yet", next(outbox), is(Optional.of(10L)));
        outbox.onReported(10);
        outbox.onReported(11);
        assertThat(next(outbox), is(Optional.of(12L)));
        outbox.onReported(12);
        assertThat(next(outbox), is(Optional.empty()));
    }

    @Test
    void aNewOwnerRepeatsOnlyWindowsThatAreNotMarked() {
        commitMark(11);
        assertThat(next(new UsageOutbox()), is(Optional.of(12L)));
    }

    @Test
    void theMarkCommandIsRepeatedUntilItIsCommitted() {
        assertThat(outbox.nextMarkCommand(state, TOKEN, 0), is(Optional.empty()));
        outbox.onReported(10);
        assertThat(outbox.nextMarkCommand(state, Optional.empty(), 0), is(Optional.empty()));
        assertThat(
                outbox.nextMarkCommand(state, TOKEN, 0),
                is(Optional.of(new Command.MarkUsageReported("usage-reported-10", 4, 10))));
        assertThat("in flight", outbox.nextMarkCommand(state, TOKEN, 400_000), is(Optional.empty()));
        assertThat(outbox.nextMarkCommand(state, TOKEN, 500_000).isPresent(), is(true));
        commitMark(10);
        assertThat(outbox.nextMarkCommand(state, TOKEN, 1_000_000), is(Optional.empty()));
    }
}
