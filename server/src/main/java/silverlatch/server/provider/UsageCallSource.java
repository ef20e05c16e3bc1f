package silverlatch.server.provider;

import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.state.StateMachine;
import silverlatch.traffic.UsageOutbox;

/** Reports closed usage windows, the oldest first; the next one follows only after the provider accepted or refused the one before. */
public final class UsageCallSource implements CallSource {
    private final UsageOutbox outbox;
    private final Supplier<Optional<StateMachine>> committedState;

    /** Creates a source of the windows that are closed in the committed state, which is present if this process has a replica. */
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

    /** Does nothing: the windows that the provider has accepted remain accepted, whichever process owns the role. */
    @Override
    public void reset() {}
}
