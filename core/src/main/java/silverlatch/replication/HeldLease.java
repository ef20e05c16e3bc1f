package silverlatch.replication;

import java.util.HashMap;
import java.util.Map;
import silverlatch.wire.ReplicationMessage;

/**
 * The lease that this replica holds under its view. Without a lease it neither admits writes nor answers reads, and doesn't report its
 * state as up to date. Used by {@link ChainReplica}, {@link WriteAdmission} and {@link ReadAdmission}.
 *
 * <p>Invariant: a grant counts from the time of its request by this replica's own clock, and for nine tenths of the time for which the
 * voter is bound by it. So the lease expires here before it expires at the voter, as long as no two clocks differ in rate by a tenth.
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

    /** Returns whether the last request was sent at least the interval ago. */
    boolean isRequestDue(final long intervalMicros, final long now) {
        return now - requestedAt >= intervalMicros;
    }

    /** Restarts the request interval, as the voters were sent another message instead of a lease request. */
    void markRequested(final long now) {
        requestedAt = now;
    }

    /** Requests a grant from all voters, and reports to them whether this replica receives messages from a majority of them. */
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
     * Adds a grant of a voter of the installed view. A grant whose request time is in the future is ignored: it was requested by an earlier
     * process, before the machine restarted and its monotonic clock started again from zero.
     */
    void add(final ReplicationMessage.LeaseGrant grant, final long now) {
        if (grant.requestedAt() <= now) {
            grantTimes.merge(grant.voter(), grant.requestedAt(), Math::max);
        }
    }

    /** Gives up the lease, as another view is installed or the log is outdated. */
    void clear() {
        grantTimes.clear();
    }

    /** Returns whether unexpired grants of a majority of the voters are held under the installed view. */
    boolean isHeld(final long now) {
        final long countedMicros = settings.leaseMicros() * 9 / 10;
        final long grants = grantTimes.values().stream()
                .filter(askedAt -> now - askedAt < countedMicros)
                .count();
        return role.view().isMajority((int) grants);
    }
}
