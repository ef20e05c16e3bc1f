package silverlatch.server.provider;

import java.util.Optional;

/**
 * Decides which call to the cloud provider is due next, for one kind of call. Used only on the controller's event loop, and only
 * while this process owns the singleton role. Times are microseconds of the monotonic clock.
 */
public interface CallSource {
    /** Returns the call that is due now, if there is one. Until {@link #onOutcome} is called, it may return the same call again. */
    Optional<ProviderCall> next(long now);

    /** Records the outcome of a call that {@link #next} returned. */
    void onOutcome(ProviderCall call, CloudProvider.Outcome outcome, long now);

    /**
     * Discards what is known of earlier calls. Called when a new tenure of this process as owner of the singleton role begins: after
     * it obtained the role, or lost and regained it.
     */
    void reset();
}
