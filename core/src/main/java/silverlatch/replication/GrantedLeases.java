package silverlatch.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * The leases that this replica, as a voter, has granted to members of the chain. {@link ViewAcceptor} asks it when the acceptance of the
 * next view may be sent.
 *
 * <p>Invariant: a member that the next view removes from the chain holds no unexpired grant of this voter after {@link
 * #leaseExpiryOfRemovedMembers}. Grants from before a restart or a change of the voters aren't tracked one by one; all of them have
 * expired at {@code untrackedGrantsExpireAt}.
 */
final class GrantedLeases {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    private final Map<String, Long> expiryByMember = new HashMap<>();
    private long untrackedGrantsExpireAt;

    /** Creates the grants of a voter that may have granted leases until now, before it restarted. */
    GrantedLeases(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects, final long now) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
        this.untrackedGrantsExpireAt = now + settings.leaseMicros();
    }

    /** Grants a lease to a member of the chain; the reply includes the sequence number up to which entries are committed here. */
    void grant(final ReplicationMessage.LeaseRequest request, final long committed, final long now) {
        final View view = role.view();
        if (view.positionOf(request.sender().id()) < 0) {
            return;
        }
        expiryByMember.put(request.sender().id(), now + settings.leaseMicros());
        effects.send(
                request.sender().address(),
                new ReplicationMessage.LeaseGrant(
                        view.number(), request.requestedAt(), settings.self().id(), committed));
    }

    /**
     * Drops the expired grants when a view replaces another one. If the voters change, grants that aren't tracked here may be valid for
     * the duration of a lease.
     */
    void installView(final View previous, final View next, final long now) {
        expiryByMember.values().removeIf(expiry -> expiry <= now);
        if (!Set.copyOf(previous.voters()).equals(Set.copyOf(next.voters()))) {
            untrackedGrantsExpireAt = now + settings.leaseMicros();
        }
    }

    /**
     * Returns the time, in microseconds, from which no member that the next view removes can act under a lease of this voter. Members that
     * remain needn't be waited for: they can't answer from the old view alone, as every entry that the new view acknowledges has passed
     * through them. The time is 0 if the next chain extends the installed one.
     */
    long leaseExpiryOfRemovedMembers(final View next) {
        final View view = role.view();
        if (ViewPlanner.isExtension(view, next) || !settings.safeguards().isEnabled(Safeguard.LEASE_WAIT)) {
            return 0;
        }
        return view.chain().stream()
                .filter(member -> next.positionOf(member.id()) < 0)
                .mapToLong(member -> expiryByMember.getOrDefault(member.id(), 0L))
                .reduce(untrackedGrantsExpireAt, Math::max);
    }
}
