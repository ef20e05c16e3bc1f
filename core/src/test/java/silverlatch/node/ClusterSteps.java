package silverlatch.node;

import java.util.List;

/** Steps shared by several tests that run simulated clusters. */
final class ClusterSteps {
    static final long SECOND = NodeCluster.SECOND;
    /** The duration of an injected fault, in microseconds. */
    static final long OUTAGE = 20 * SECOND;
    /** The maximum time, in microseconds, until connected gateways use an acknowledged configuration. */
    static final long PROPAGATION_LIMIT = 3 * SECOND;

    private ClusterSteps() {}

    /** Returns the address of the controller at a position of the chain; 0 is the head. */
    static String addressAt(final NodeCluster cluster, final int position) {
        return cluster.node("c0").view().chain().get(position).address();
    }

    /** Returns all controllers but one. */
    static List<String> others(final NodeCluster cluster, final String one) {
        return cluster.controllers().stream().filter(c -> !c.equals(one)).toList();
    }

    /** Submits a configuration repeatedly until it is acknowledged; returns the time of that, or fails after the limit. */
    static long acknowledge(
            final NodeCluster cluster, final List<String> through, final long number, final long limit) {
        final long from = cluster.now();
        while (cluster.now() - from <= limit) {
            for (final String controller : through) {
                final PendingCommand pending = cluster.put(controller, number, -1);
                cluster.advance(NodeCluster.COMMAND_TIMEOUT + 100_000);
                if (pending.isAcknowledged()) {
                    return pending.endedAt();
                }
            }
        }
        throw new AssertionError(number + " was not acknowledged");
    }

    /** Returns whether all gateways route requests by the given revision or a newer one. */
    static boolean allServe(final NodeCluster cluster, final long number) {
        return cluster.gateways().stream().allMatch(g -> cluster.servedRevision(g) >= number);
    }
}
