package silverlatch.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * The graceful leave of a replica before its process stops. Legal transitions: staying, leaving (the next views take it out of chain and
 * voters), left. It begins with {@link ChainReplica#leave} and isn't taken back.
 *
 * <p>Invariant: a replica has left only when the chain goes on without it, and a majority of the voters that remain knows that.
 */
final class GracefulLeave {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    /** The addresses that have shown that they know the installed view. */
    private final Set<String> informedVoters = new HashSet<>();

    private boolean leaving;

    GracefulLeave(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
    }

    /** The process is about to stop. */
    void begin() {
        leaving = true;
    }

    /** Whether the process is about to stop. */
    boolean isLeaving() {
        return leaving;
    }

    /** A view was installed: nobody is known to know it yet. */
    void installView() {
        informedVoters.clear();
    }

    /** A process has shown that it knows the installed view. */
    void addInformed(final String address) {
        informedVoters.add(address);
    }

    /**
     * Whether the process may stop. A member that the chain needs for its copies stays until its grace ends; the last voter may go when
     * nobody asks to join.
     */
    boolean hasLeft(final boolean hasJoinRequests) {
        if (!role.hasView() || role.isDiskFailed()) {
            return true;
        }
        final View view = role.view();
        if (role.isNamedInChain()) {
            return view.voters().equals(List.of(settings.self())) && !hasJoinRequests;
        }
        if (!settings.safeguards().isEnabled(Safeguard.HANDOVER)) {
            return true;
        }
        final long informed = view.voters().stream()
                .filter(voter -> !voter.equals(settings.self()) && informedVoters.contains(voter.address()))
                .count();
        return view.isMajority((int) informed);
    }

    /**
     * Tells the voters of the view without this replica, until they show that they know it. It asks for no lease meanwhile, so that its
     * silence counts. A prepare for a number that was decided is replied to with the view of whoever knows it.
     */
    void announce() {
        final View view = role.view();
        view.voters().forEach(voter -> {
            effects.send(voter.address(), new ReplicationMessage.ViewDecided(view));
            effects.send(voter.address(), new ReplicationMessage.Prepare(view.number(), 0));
        });
    }
}
