package silverlatch.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * The leases that this replica, as a voter, has granted to members of the chain. {@link ViewAcceptor} asks it when the next view may be
 * accepted aloud.
 *
 * <p>Invariant: a member that the next view takes out of the chain holds no grant of this voter any more when {@link
 * #removedGrantsExpireAt} has passed. Grants from before a restart or a change of the voters aren't known one by one; all have run out
 * at {@code untrackedGrantsExpireAt}.
 */
final class GrantedLeases {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    private final Map<String, Long> expiryByMember = new HashMap<>();
    private long untrackedGrantsExpireAt;

    /** A voter that may have granted leases until this moment, before it restarted. */
    GrantedLeases(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects, final long now) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
        this.untrackedGrantsExpireAt = now + settings.leaseMicros();
    }

    /** Grants a lease to a member of the chain, and tells it up to where changes are committed here. */
    void grant(final ReplicationMessage.LeaseRequest request, final long committed, final long now) {
        final View view = role.view();
        if (view.positionOf(request.sender().id()) < 0) {
            return;
        }
        expiryByMember.put(request.sender().id(), now + settings.leaseMicros());
        effects.send(
                request.sender().address(),
                new ReplicationMessage.LeaseGrant(
                        view.number(), request.askedAt(), settings.self().id(), committed));
    }

    /** A view takes the place of another one. */
    void installView(final View previous, final View next, final long now) {
        expiryByMember.values().removeIf(expiry -> expiry <= now);
        if (!Set.copyOf(previous.voters()).equals(Set.copyOf(next.voters()))) {
            untrackedGrantsExpireAt = now + settings.leaseMicros();
        }
    }

    /**
     * When none that the next view takes out can answer under a lease from here any more. Members that stay can't answer for the old
     * view alone: what the new one acknowledges has passed them.
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
