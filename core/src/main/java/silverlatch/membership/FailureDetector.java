package silverlatch.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.node.Effect;
import silverlatch.node.Event;

/**
 * Detects which of the watched members are silent. While more than half of them are (and at least two), the node
 * suspects itself and no other member: it is more likely that this node was cut off or paused than that all of them
 * failed. Times are microseconds of the node's monotonic clock.
 */
final class FailureDetector {
    private static final int MIN_SILENT_TO_SUSPECT_SELF = 2;

    private final long suspicionTimeout;
    private final Map<String, Long> lastHeartbeats = new HashMap<>();
    private boolean suspectsSelf;

    FailureDetector(final long suspicionTimeout) {
        this.suspicionTimeout = suspicionTimeout;
    }

    /** Returns whether the node suspects itself, since more than half of the watched members are silent. */
    boolean suspectsSelf() {
        return suspectsSelf;
    }

    void onHeartbeat(final String id, final long now) {
        lastHeartbeats.put(id, now);
    }

    /**
     * Returns the watched members whose last heartbeat is older than the suspicion time-out. For a member that wasn't
     * watched at the last call, the time-out starts now.
     */
    List<Member> silentMembers(final List<Member> watched, final long now) {
        watched.forEach(m -> lastHeartbeats.putIfAbsent(m.id(), now));
        lastHeartbeats.keySet().retainAll(watched.stream().map(Member::id).toList());
        return watched.stream()
                .filter(m -> now - lastHeartbeats.get(m.id()) > suspicionTimeout)
                .toList();
    }

    /** Updates whether the node suspects itself. Returns a log event if it starts to. */
    Optional<Effect.Log> updateSelfSuspicion(final int silent, final int watched) {
        final boolean before = suspectsSelf;
        suspectsSelf = silent >= MIN_SILENT_TO_SUSPECT_SELF && silent * 2 > watched;
        return suspectsSelf && !before
                ? Optional.of(
                        new Effect.Log(Event.SELF_DOUBT, silent + " of " + watched + " watched members are silent"))
                : Optional.empty();
    }
}
