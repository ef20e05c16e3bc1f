package silverlatch.replication;

import java.util.List;
import silverlatch.safeguard.Safeguards;

/**
 * The settings of a replica; all durations are in microseconds.
 *
 * @param self               the replica's own identity and address
 * @param seeds              the addresses of the replicas that bootstrap the cluster together, and that are asked for the current view
 * @param leaseMicros        for how long a voter is bound by a lease that it granted
 * @param leaseRequestMicros the interval at which a voter requests its own lease
 * @param suspicionMicros    after how long without a sign of life a replica is suspected
 * @param diskStallMicros    after how long an unsynced write counts as a stalled disk
 * @param minInSyncReplicas  the number of synced copies required before a write is acknowledged
 * @param maxVoters          the maximum number of voters
 * @param mayBootstrap       whether this replica may take part in the bootstrap of a new cluster
 * @param safeguards         the enabled safeguards; all of them except in tests
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
    /** The interval at which a replica retries requests to other replicas, in microseconds. */
    static final long RETRY_MICROS = 300_000L;

    private static final long DEFAULT_LEASE_MICROS = 600_000L;
    private static final long DEFAULT_LEASE_REQUEST_MICROS = 120_000L;
    private static final long DEFAULT_SUSPICION_MICROS = 800_000L;
    private static final long DEFAULT_DISK_STALL_MICROS = 1_000_000L;

    /** Copies the seeds. */
    public ReplicaSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the default settings: two synced copies and at most three voters. */
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

    /** Returns a copy with only these safeguards enabled. */
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

    /** Returns a copy with another number of required copies and another maximum number of voters. */
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

    /** Returns a copy where taking part in the bootstrap of a new cluster is allowed or not. */
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

    /** Returns whether this is the replica's own identity. */
    boolean isSelf(final String id) {
        return self.id().equals(id);
    }
}
