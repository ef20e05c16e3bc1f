package silverlatch.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.wire.ReplicationMessage;

/**
 * When this replica heard the voters and the replicas that ask to join, by their lease requests, and which members say that they have
 * caught up. {@link ViewPlanner} decides by it who is suspected.
 *
 * <p>A voter that doesn't hear a majority itself counts as silent: else a member that sends but hears nothing would stay in the chain and
 * hold up all writes. Times are of this replica's steady clock, in microseconds.
 */
final class FailureDetector {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    /** When a replica was last heard that hears a majority, or asks to join. */
    private final Map<String, Long> lastAliveAt = new HashMap<>();
    /** When a request of a voter was last received, whether it hears a majority or not. */
    private final Map<String, Long> lastRequestAt = new HashMap<>();

    private final Set<String> caughtUpMembers = new HashSet<>();

    FailureDetector(final ReplicaSettings settings, final ReplicaRole role) {
        this.settings = settings;
        this.role = role;
    }

    /** The process starts: all voters count as heard now. */
    void start(final long now) {
        role.view().voters().forEach(voter -> lastAliveAt.put(voter.id(), now));
    }

    /** A view was installed: its voters are watched, from now on where this replica wasn't in the chain of the one before. */
    void installView(final boolean wasInChain, final long now) {
        caughtUpMembers.clear();
        lastAliveAt
                .keySet()
                .retainAll(role.view().voters().stream().map(Replica::id).toList());
        lastRequestAt.keySet().retainAll(lastAliveAt.keySet());
        role.view().voters().forEach(voter -> {
            if (wasInChain) {
                lastAliveAt.putIfAbsent(voter.id(), now);
            } else {
                lastAliveAt.put(voter.id(), now);
            }
        });
    }

    /** A replica asks to join. */
    void handleJoinRequest(final ReplicationMessage.JoinRequest request, final long now) {
        lastAliveAt.put(request.sender().id(), now);
    }

    /** A lease request of the installed view came in. */
    void handleLeaseRequest(final ReplicationMessage.LeaseRequest request, final boolean isJoining, final long now) {
        final String id = request.sender().id();
        if (isJoining) {
            lastAliveAt.put(id, now);
        }
        if (role.view().isVoter(id)) {
            lastRequestAt.put(id, now);
            if (request.hearsMajority()) {
                lastAliveAt.put(id, now);
            }
        }
        if (request.caughtUp()) {
            caughtUpMembers.add(id);
        } else {
            caughtUpMembers.remove(id);
        }
    }

    /** This replica has caught up itself. */
    void addSelfAsCaughtUp() {
        caughtUpMembers.add(settings.self().id());
    }

    /** The members of the chain that said that they have caught up; it changes with what comes in. */
    Set<String> caughtUpMembers() {
        return caughtUpMembers;
    }

    /** Whether a majority of the voters, this one among them, was received within half the time of suspicion. */
    boolean hearsMajority(final long now) {
        final long recentVoters = role.view().voters().stream()
                .map(Replica::id)
                .filter(id -> settings.isSelf(id) || isRequestRecent(id, now))
                .count();
        return role.view().isMajority((int) recentVoters);
    }

    private boolean isRequestRecent(final String id, final long now) {
        return Optional.ofNullable(lastRequestAt.get(id))
                .filter(at -> now - at <= settings.suspicionMicros() / 2)
                .isPresent();
    }

    /** For how long a replica was silent, in microseconds; one that was never heard since the start of the clock. */
    long silenceMicros(final String id, final long now) {
        return settings.isSelf(id) ? 0 : now - lastAliveAt.getOrDefault(id, 0L);
    }
}
