package silverlatch.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.node.Effect;
import silverlatch.node.Event;

/**
 * Finds which of the watched members are silent. While more than half of them are (two at least) the node suspects itself
 * and nobody else: it is more likely that it was cut off or paused than that they all failed. Times are microseconds of the
 * node's monotonic clock.
 */
final class FailureDetector {
    private static final int MIN_SILENT_TO_SUSPECT_SELF = 2;

    private final long suspicionTimeout;
    private final Map<String, Long> lastHeartbeats = new HashMap<>();
    private boolean suspectsSelf;

    FailureDetector(final long suspicionTimeout) {
        this.suspicionTimeout = suspicionTimeout;
    }

    /** Returns whether more than half of the watched members are silent. */
    boolean suspectsSelf() {
        return suspectsSelf;
    }

    void onHeartbeat(final String id, final long now) {
        lastHeartbeats.put(id, now);
    }

    /** Returns the watched members that are silent; one that is watched anew counts as heard now. */
    List<Member> silentMembers(final List<Member> watched, final long now) {
        watched.forEach(m -> lastHeartbeats.putIfAbsent(m.id(), now));
        lastHeartbeats.keySet().retainAll(watched.stream().map(Member::id).toList());
        return watched.stream()
                .filter(m -> now - lastHeartbeats.get(m.id()) > suspicionTimeout)
                .toList();
    }

    /** Decides whether the node suspects itself; returns what is to be logged if it begins to. */
    Optional<Effect.Log> updateSelfSuspicion(final int silent, final int watched) {
        final boolean before = suspectsSelf;
        suspectsSelf = silent >= MIN_SILENT_TO_SUSPECT_SELF && silent * 2 > watched;
        return suspectsSelf && !before
                ? Optional.of(new Effect.Log(Event.SELF_DOUBT, silent + " of " + watched + " watched are silent"))
                : Optional.empty();
    }
}
