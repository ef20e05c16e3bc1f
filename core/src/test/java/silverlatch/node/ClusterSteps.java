package silverlatch.node;

import java.util.List;

/** Steps that several tests of whole clusters take. */
final class ClusterSteps {
    static final long SECOND = NodeCluster.SECOND;
    /** How long a fault lasts. */
    static final long OUTAGE = 20 * SECOND;
    /** A connected gateway follows a configuration that was acknowledged so long ago. */
    static final long PROPAGATION_LIMIT = 3 * SECOND;

    private ClusterSteps() {}

    /** Returns the controller at a position of the chain. */
    static String addressAt(final NodeCluster cluster, final int position) {
        return cluster.node("c0").view().chain().get(position).address();
    }

    /** Returns all controllers but one. */
    static List<String> others(final NodeCluster cluster, final String one) {
        return cluster.controllers().stream().filter(c -> !c.equals(one)).toList();
    }

    /** Submits a configuration until it is acknowledged; returns when it was, or fails after the limit. */
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

    /** Returns whether all gateways route requests by this revision or a newer one. */
    static boolean allServe(final NodeCluster cluster, final long number) {
        return cluster.gateways().stream().allMatch(g -> cluster.servedRevision(g) >= number);
    }
}
