package silverlatch.server.provider;

import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.state.StateMachine;
import silverlatch.traffic.UsageOutbox;

/** Has closed windows of usage reported, the oldest first; none is passed over before the provider has it or refuses it for good. */
public final class UsageCallSource implements CallSource {
    private final UsageOutbox outbox;
    private final Supplier<Optional<StateMachine>> committedState;

    /** A source of the windows that are closed in the committed state; it is there where this process has a replica. */
    public UsageCallSource(final UsageOutbox outbox, final Supplier<Optional<StateMachine>> committedState) {
        this.outbox = outbox;
        this.committedState = committedState;
    }

    @Override
    public Optional<ProviderCall> next(final long now) {
        return committedState.get().flatMap(outbox::next).map(ProviderCall.ReportUsage::new);
    }

    @Override
    public void onOutcome(final ProviderCall call, final CloudProvider.Outcome outcome, final long now) {
        final boolean isFinal = outcome == CloudProvider.Outcome.ACCEPTED || outcome == CloudProvider.Outcome.REFUSED;
        if (isFinal && call instanceof ProviderCall.ReportUsage report) {
            outbox.onReported(report.window().number());
        }
    }

    /** Nothing is void: what the provider has it keeps, whoever owns the role. */
    @Override
    public void reset() {}
}
