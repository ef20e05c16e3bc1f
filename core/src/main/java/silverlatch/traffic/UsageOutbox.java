package silverlatch.traffic;

import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.state.UsageState;
import silverlatch.state.Value;

/**
 * Which closed windows the provider doesn't have yet. Only what is committed is reported, so every owner of the singleton role reports a
 * window with the same counts. How far the provider has them is committed too, so a successor repeats the one or two windows at most
 * whose mark was under way. Owned by the node's event loop; times are microseconds of the monotonic clock.
 */
public final class UsageOutbox {
    private static final long RETRY_MICROS = 500_000L;
    private long reportedLocally = -1;
    private long markSentAt = -RETRY_MICROS;
    private long sentMark = -1;

    /** The oldest window that is closed in a state and isn't known to be reported. */
    public Optional<Value.UsageWindow> next(final StateMachine state) {
        return UsageState.firstClosedAfter(state, Math.max(reportedLocally, UsageState.reportedUpTo(state)));
    }

    /** The provider has the usage of a window, or refuses it for good. */
    public void onReported(final long window) {
        reportedLocally = Math.max(reportedLocally, window);
    }

    /** The command that marks what this process has reported, where it is to be sent now; it is sent again until it is committed. */
    public Optional<Command.MarkUsageReported> nextMarkCommand(
            final StateMachine state, final Optional<Long> fencingToken, final long now) {
        final boolean isUnderWay = sentMark == reportedLocally && now - markSentAt < RETRY_MICROS;
        if (fencingToken.isEmpty() || reportedLocally <= UsageState.reportedUpTo(state) || isUnderWay) {
            return Optional.empty();
        }
        sentMark = reportedLocally;
        markSentAt = now;
        return Optional.of(new Command.MarkUsageReported(
                "usage-reported-" + reportedLocally, fencingToken.get(), reportedLocally));
    }
}
