package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.safeguard.Safeguards;

/** Lets tests of whole nodes ask a {@link RevocationLease}. */
public final class KeyAcceptance {
    private final RevocationLease lease;

    /** By a lease for this deadline, in microseconds. */
    public KeyAcceptance(final long deadline, final Safeguards safeguards) {
        this.lease = new RevocationLease(deadline, safeguards);
    }

    /** Whether a gateway with this snapshot accepts the keys in it now. */
    public boolean isPossible(final ClusterSnapshot snapshot, final long now) {
        return lease.isValid(snapshot, now);
    }
}
