package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * For how long a gateway may accept keys by a configuration that was confirmed as the newest: a configuration that takes a key away may
 * have been acknowledged right after that moment, but not before. That a newer one has been announced since ends the lease no earlier.
 *
 * <p>The confirmation is dated from when this gateway asked for it, by its own monotonic clock. No two clocks differ in rate by a tenth, so
 * the lease ends after nine tenths of the deadline.
 */
final class RevocationLease {
    private final long lifetime;

    /**
     * A lease.
     *
     * @param deadline how long after the acknowledgement of a configuration a key that it took away may still be accepted, in
     *                 microseconds; 0 where that isn't bounded
     */
    RevocationLease(final long deadline) {
        this(deadline, Safeguards.ALL);
    }

    RevocationLease(final long deadline, final Safeguards safeguards) {
        this.lifetime = safeguards.isEnabled(Safeguard.REVOCATION_LEASE) ? deadline * 9 / 10 : 0;
    }

    /** Whether keys may be accepted now by the snapshot's configuration. */
    boolean isValid(final ClusterSnapshot snapshot, final long now) {
        return lifetime == 0
                || snapshot.lastConfirmedAt().filter(at -> now - at < lifetime).isPresent();
    }
}
