package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Limits how long a gateway may accept keys by a configuration after it was confirmed as the newest. A configuration
 * that revokes a key may have been acknowledged right after the confirmation, but not before it. The announcement of a
 * newer revision doesn't end the lease early.
 *
 * <p>The confirmation counts from the time at which this gateway requested it, by its own monotonic clock. The rates of
 * any two clocks differ by less than a tenth, so the lease ends after nine tenths of the revocation deadline.
 */
final class RevocationLease {
    private final long lifetime;

    /**
     * Creates a lease.
     *
     * @param deadline how long after a configuration that revokes a key was acknowledged the key may still be accepted,
     *                 in microseconds; 0 for no limit
     */
    RevocationLease(final long deadline) {
        this(deadline, Safeguards.ALL);
    }

    RevocationLease(final long deadline, final Safeguards safeguards) {
        this.lifetime = safeguards.isEnabled(Safeguard.REVOCATION_LEASE) ? deadline * 9 / 10 : 0;
    }

    /** Returns whether keys may be accepted now by the snapshot's configuration. */
    boolean isValid(final ClusterSnapshot snapshot, final long now) {
        return lifetime == 0
                || snapshot.lastConfirmedAt().filter(at -> now - at < lifetime).isPresent();
    }
}
