package silverlatch.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.wire.ReplicationMessage;

/**
 * Tracks when the voters and the replicas that request to join were last alive, and which members report that they have caught up. Lease
 * requests serve as heartbeats. {@link ViewPlanner} uses it to decide which replicas are suspected.
 *
 * <p>A voter that reports that it doesn't receive messages from a majority counts as silent: otherwise a member that can send but not
 * receive would stay in the chain and block all writes. Times are those of this replica's monotonic clock, in microseconds.
 */
final class FailureDetector {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    /** When a replica last showed that it is alive: by a heartbeat that reports contact with a majority, or by joining. */
    private final Map<String, Long> lastAliveAt = new HashMap<>();
    /** When a lease request of a voter was last received, no matter whether it reports contact with a majority. */
    private final Map<String, Long> lastRequestAt = new HashMap<>();

    private final Set<String> caughtUpMembers = new HashSet<>();

    FailureDetector(final ReplicaSettings settings, final ReplicaRole role) {
        this.settings = settings;
        this.role = role;
    }

    /** Starts detection when the process starts: all voters count as alive now. */
    void start(final long now) {
        role.view().voters().forEach(voter -> lastAliveAt.put(voter.id(), now));
    }

    /**
     * Tracks the voters of a view that was installed. If this replica was not in the chain of the previous view, all of them count as
     * alive now, otherwise only the new ones.
     */
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

    /** Records that a replica requested to join the chain. */
    void handleJoinRequest(final ReplicationMessage.JoinRequest request, final long now) {
        lastAliveAt.put(request.sender().id(), now);
    }

    /** Records a lease request under the installed view as a heartbeat of its sender. */
    void handleLeaseRequest(final ReplicationMessage.LeaseRequest request, final boolean isJoining, final long now) {
        final String id = request.sender().id();
        if (isJoining) {
            lastAliveAt.put(id, now);
        }
        if (role.view().isVoter(id)) {
            lastRequestAt.put(id, now);
            if (request.isInContactWithMajority()) {
                lastAliveAt.put(id, now);
            }
        }
        if (request.caughtUp()) {
            caughtUpMembers.add(id);
        } else {
            caughtUpMembers.remove(id);
        }
    }

    /** Records that this replica itself has caught up. */
    void addSelfAsCaughtUp() {
        caughtUpMembers.add(settings.self().id());
    }

    /** Returns the identities of the replicas that reported to have caught up; a live view that changes with each request. */
    Set<String> caughtUpMembers() {
        return caughtUpMembers;
    }

    /** Returns whether a majority of the voters, including this one, sent a lease request within half of the suspicion timeout. */
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

    /**
     * Returns for how long a replica has been silent, in microseconds; 0 for this replica. A replica that was never alive counts as silent
     * since the start of the monotonic clock.
     */
    long silenceMicros(final String id, final long now) {
        return settings.isSelf(id) ? 0 : now - lastAliveAt.getOrDefault(id, 0L);
    }
}
