package silverlatch.replication;

import java.util.HashMap;
import java.util.Map;
import silverlatch.wire.ReplicationMessage;

/**
 * The lease that this replica holds under its view: without it, it neither admits writes nor answers reads, and doesn't call its state
 * up to date. Used by {@link ChainReplica} and the admission of reads and writes.
 *
 * <p>Invariant: a grant counts from when it was asked for by this replica's own clock, and for nine tenths of the time for which the
 * voter keeps it, so the lease ends here before it ends there, as long as no two clocks differ in rate by a tenth.
 */
final class HeldLease {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    private final Map<String, Long> grantTimes = new HashMap<>();
    private long requestedAt;

    HeldLease(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
    }

    /** Whether the last request is at least so many microseconds ago. */
    boolean isRequestDue(final long intervalMicros, final long now) {
        return now - requestedAt >= intervalMicros;
    }

    /** The voters were sent a message in the place of a request. */
    void markRequested(final long now) {
        requestedAt = now;
    }

    /** Asks all voters for a grant, and tells them whether this replica hears a majority of them. */
    void request(final boolean hearsMajority, final long now) {
        requestedAt = now;
        final View view = role.view();
        view.voters()
                .forEach(voter -> effects.send(
                        voter.address(),
                        new ReplicationMessage.LeaseRequest(
                                view.number(), now, settings.self(), role.isActive(), hearsMajority)));
    }

    /**
     * Takes a grant of a voter of the installed view. One that was asked for later than now was asked for by an earlier process of this
     * machine, whose monotonic clock has begun anew since.
     */
    void add(final ReplicationMessage.LeaseGrant grant, final long now) {
        if (grant.askedAt() <= now) {
            grantTimes.merge(grant.voter(), grant.askedAt(), Math::max);
        }
    }

    /** Gives the lease up: another view begins, or the log is outdated. */
    void clear() {
        grantTimes.clear();
    }

    /** Whether a majority of the voters vouches for the installed view at this moment. */
    boolean isHeld(final long now) {
        final long countedMicros = settings.leaseMicros() * 9 / 10;
        final long grants = grantTimes.values().stream()
                .filter(askedAt -> now - askedAt < countedMicros)
                .count();
        return role.view().isMajority((int) grants);
    }
}
