package silverlatch.routing;

import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.safeguard.Safeguards;

/** Makes a {@link RevocationLease} accessible to tests of whole nodes. */
public final class KeyAcceptance {
    private final RevocationLease lease;

    /** Creates a lease for the given revocation deadline in microseconds. */
    public KeyAcceptance(final long deadline, final Safeguards safeguards) {
        this.lease = new RevocationLease(deadline, safeguards);
    }

    /** Returns whether a gateway with this snapshot accepts the snapshot's keys now. */
    public boolean isPossible(final ClusterSnapshot snapshot, final long now) {
        return lease.isValid(snapshot, now);
    }
}
