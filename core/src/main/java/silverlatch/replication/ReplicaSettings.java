package silverlatch.replication;

import java.util.List;
import silverlatch.safeguard.Safeguards;

/**
 * What a replica is made with; times in microseconds.
 *
 * @param self               its identity and address
 * @param seeds              the addresses that found the cluster together, and that are asked for the view
 * @param leaseMicros        how long a grant of a lease binds the voter that gave it
 * @param leaseRequestMicros how often a voter asks for its lease
 * @param suspicionMicros    after how long a silent member is suspected
 * @param diskStallMicros    after how long an unsynced write counts as a stalled disk
 * @param minInSyncReplicas  how many synced copies there are before an acknowledgement
 * @param maxVoters          how many replicas vote where so many are there
 * @param mayBootstrap       whether this replica may take part in founding the cluster
 * @param safeguards         the safeguards that are enabled; all but in tests
 */
public record ReplicaSettings(
        Replica self,
        List<String> seeds,
        long leaseMicros,
        long leaseRequestMicros,
        long suspicionMicros,
        long diskStallMicros,
        int minInSyncReplicas,
        int maxVoters,
        boolean mayBootstrap,
        Safeguards safeguards) {
    /** How long a replica waits before it sends a request of the chain again, in microseconds. */
    static final long RETRY_MICROS = 300_000L;

    private static final long DEFAULT_LEASE_MICROS = 600_000L;
    private static final long DEFAULT_LEASE_REQUEST_MICROS = 120_000L;
    private static final long DEFAULT_SUSPICION_MICROS = 800_000L;
    private static final long DEFAULT_DISK_STALL_MICROS = 1_000_000L;

    /** Copies the seeds. */
    public ReplicaSettings {
        seeds = List.copyOf(seeds);
    }

    /** The defaults: two copies, three voters. */
    public static ReplicaSettings of(final Replica self, final List<String> seeds) {
        return new ReplicaSettings(
                self,
                seeds,
                DEFAULT_LEASE_MICROS,
                DEFAULT_LEASE_REQUEST_MICROS,
                DEFAULT_SUSPICION_MICROS,
                DEFAULT_DISK_STALL_MICROS,
                2,
                3,
                true,
                Safeguards.ALL);
    }

    /** The same with these safeguards enabled. */
    public ReplicaSettings withSafeguards(final Safeguards enabled) {
        return new ReplicaSettings(
                self,
                seeds,
                leaseMicros,
                leaseRequestMicros,
                suspicionMicros,
                diskStallMicros,
                minInSyncReplicas,
                maxVoters,
                mayBootstrap,
                enabled);
    }

    /** The same with other numbers of required copies and of voters. */
    public ReplicaSettings withCounts(final int inSyncReplicas, final int voters) {
        return new ReplicaSettings(
                self,
                seeds,
                leaseMicros,
                leaseRequestMicros,
                suspicionMicros,
                diskStallMicros,
                inSyncReplicas,
                voters,
                mayBootstrap,
                safeguards);
    }

    /** The same, where founding the cluster is allowed or not. */
    public ReplicaSettings withBootstrap(final boolean allowed) {
        return new ReplicaSettings(
                self,
                seeds,
                leaseMicros,
                leaseRequestMicros,
                suspicionMicros,
                diskStallMicros,
                minInSyncReplicas,
                maxVoters,
                allowed,
                safeguards);
    }

    /** Whether this identity is the replica itself. */
    boolean isSelf(final String id) {
        return self.id().equals(id);
    }
}
