package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.routing.KeyAcceptance;

/**
 * Checks continuously whether gateways would accept revoked keys. Each configuration is considered to revoke the key of the previous
 * one: it is a violation if a gateway still accepts keys by configuration n when the deadline after the acknowledgement of a higher
 * configuration has passed.
 */
final class KeyMonitor {
    private static final long CHECK_INTERVAL = 5_000L;

    private final NodeCluster cluster;
    private final long deadline;
    private final KeyAcceptance acceptance;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> rejectingMicros = new HashMap<>();

    KeyMonitor(final NodeCluster cluster, final long deadline, final KeyAcceptance acceptance) {
        this.cluster = cluster;
        this.deadline = deadline;
        this.acceptance = acceptance;
        cluster.clock().every(CHECK_INTERVAL, this::check);
    }

    /** Returns whether a gateway accepts keys now; it doesn't while its process is paused. */
    boolean isAccepting(final String gateway) {
        return cluster.routedSnapshot(gateway)
                .filter(snapshot -> accepts(snapshot, cluster.localNow(gateway)))
                .isPresent();
    }

    private boolean accepts(final ClusterSnapshot snapshot, final long localNow) {
        return snapshot.revision() > 0 && acceptance.isPossible(snapshot, localNow);
    }

    boolean areAllAccepting() {
        return cluster.gateways().stream().allMatch(this::isAccepting);
    }

    private void check() {
        cluster.gateways().forEach(gateway -> {
            if (isAccepting(gateway)) {
                checkAccepted(gateway, cluster.servedRevision(gateway));
            } else {
                rejectingMicros.merge(gateway, CHECK_INTERVAL, Long::sum);
            }
        });
    }

    private void checkAccepted(final String gateway, final long held) {
        final long now = cluster.now();
        cluster.acknowledged().stream()
                .filter(a -> a.number() > held && now - a.at() > deadline)
                .findFirst()
                .ifPresent(a -> violations.add(gateway + " accepts keys of " + held + " at " + now + ", but "
                        + a.number() + " was acknowledged at " + a.at()));
    }

    /** Returns the longest total time for which one gateway accepted no key since the last call, in microseconds, and resets it. */
    long drainLongestRejectionMicros() {
        final long longest = rejectingMicros.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        rejectingMicros.clear();
        return longest;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
