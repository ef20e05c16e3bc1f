package silverlatch.server.provider;

import java.util.Optional;

/**
 * Decides which call of the provider is due next, for one kind of call. The controller's event loop alone calls it, and only while this
 * process owns the singleton role; times are microseconds of the monotonic clock.
 */
public interface CallSource {
    /** The call that is due now, if there is one; it is asked again until the call's outcome is told. */
    Optional<ProviderCall> next(long now);

    /** Takes the outcome of a call that {@link #next} returned. */
    void onOutcome(ProviderCall call, CloudProvider.Outcome outcome, long now);

    /** This process doesn't own the singleton role any more, or owns it anew: what was known of the calls made is void. */
    void reset();
}
