package silverlatch.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * The graceful leave of a replica before its process stops. Legal transitions: staying, leaving (the next views remove it from the chain
 * and the voters), left. A leave starts with {@link ChainReplica#leave} and can't be cancelled.
 *
 * <p>Invariant: a replica has left only when a view without it in the chain is installed, and a majority of that view's voters, this
 * replica not counted, is known to have installed it.
 */
final class GracefulLeave {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    /** The addresses of the processes known to have installed the same view. */
    private final Set<String> informedVoters = new HashSet<>();

    private boolean leaving;

    GracefulLeave(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
    }

    /** Starts the leave, as the process is about to stop. */
    void begin() {
        leaving = true;
    }

    /** Returns whether the leave has started. */
    boolean isLeaving() {
        return leaving;
    }

    /** Clears the informed voters after a view was installed, as no other voter is known to have installed it yet. */
    void installView() {
        informedVoters.clear();
    }

    /** Records that the process at this address has installed the same view. */
    void addInformed(final String address) {
        informedVoters.add(address);
    }

    /**
     * Returns whether the process may stop. A member that the chain needs for the required copies stays until the grace period of its
     * process ends. The last voter may leave if there is no join request.
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
     * Sends the view without this replica in its chain to the voters; repeated until they are known to have installed it. The replica
     * requests no leases meanwhile, so that it counts as silent. The message includes a prepare for the view's number: a voter that has
     * installed a view with this or a higher number replies to it with that view, which confirms the installation.
     */
    void announce() {
        final View view = role.view();
        view.voters().forEach(voter -> {
            effects.send(voter.address(), new ReplicationMessage.ViewDecided(view));
            effects.send(voter.address(), new ReplicationMessage.Prepare(view.number(), 0));
        });
    }
}
