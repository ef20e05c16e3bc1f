package silverlatch.traffic;

import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.state.UsageState;
import silverlatch.state.Value;

/**
 * Tracks which closed usage windows have not been reported to the provider yet. Only committed windows are reported, so
 * every owner of the singleton role reports a window with the same counts. The last reported window is committed too; a
 * new owner therefore repeats only the one or two windows at most whose mark was not committed yet. Confined to the
 * node's event loop; times are microseconds of the monotonic clock.
 */
public final class UsageOutbox {
    private static final long RETRY_MICROS = 500_000L;
    private long reportedLocally = -1;
    private long markSentAt = -RETRY_MICROS;
    private long sentMark = -1;

    /** Returns the oldest closed window of a state that isn't known to be reported. */
    public Optional<Value.UsageWindow> next(final StateMachine state) {
        return UsageState.firstClosedAfter(state, Math.max(reportedLocally, UsageState.reportedUpTo(state)));
    }

    /** Records that the provider has accepted the usage of a window, or rejected it permanently. */
    public void onReported(final long window) {
        reportedLocally = Math.max(reportedLocally, window);
    }

    /**
     * Returns the command that marks the windows reported by this process, if it is to be sent now. The command is
     * repeated until it is committed.
     */
    public Optional<Command.MarkUsageReported> nextMarkCommand(
            final StateMachine state, final Optional<Long> fencingToken, final long now) {
        final boolean isInFlight = sentMark == reportedLocally && now - markSentAt < RETRY_MICROS;
        if (fencingToken.isEmpty() || reportedLocally <= UsageState.reportedUpTo(state) || isInFlight) {
            return Optional.empty();
        }
        sentMark = reportedLocally;
        markSentAt = now;
        return Optional.of(new Command.MarkUsageReported(
                "usage-reported-" + reportedLocally, fencingToken.get(), reportedLocally));
    }
}
