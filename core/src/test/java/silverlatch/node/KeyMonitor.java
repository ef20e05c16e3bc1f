package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.routing.KeyAcceptance;

/**
 * Watches which keys gateways would accept, all the time. Each configuration is taken to remove the key of the one before: a gateway
 * that accepts keys by configuration n later than the deadline after a higher one was acknowledged runs requests with a revoked key.
 */
final class KeyMonitor {
    private static final long CHECK_INTERVAL = 5_000L;

    private final NodeCluster cluster;
    private final long deadline;
    private final KeyAcceptance acceptance;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> refusedMicros = new HashMap<>();

    KeyMonitor(final NodeCluster cluster, final long deadline, final KeyAcceptance acceptance) {
        this.cluster = cluster;
        this.deadline = deadline;
        this.acceptance = acceptance;
        cluster.clock().every(CHECK_INTERVAL, this::check);
    }

    /** Whether a gateway accepts keys now; none does while its process stands still. */
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
                refusedMicros.merge(gateway, CHECK_INTERVAL, Long::sum);
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

    /** For how long the gateway that did so longest accepted no key, since this was last asked. */
    long drainLongestRefusal() {
        final long longest =
                refusedMicros.values().stream().mapToLong(Long::longValue).max().orElse(0);
        refusedMicros.clear();
        return longest;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
