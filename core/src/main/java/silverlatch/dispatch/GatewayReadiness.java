package silverlatch.dispatch;

import java.util.Optional;

/** Whether this gateway takes new requests. Owned by the dispatch event loop. */
final class GatewayReadiness {
    private final ClusterView cluster;
    private boolean stopping;

    GatewayReadiness(final ClusterView cluster) {
        this.cluster = cluster;
    }

    /** No new request is taken from now on. */
    void stopAccepting() {
        stopping = true;
    }

    /** Why no requests are taken, or nothing when they are. */
    Optional<String> unreadyReason(final long now) {
        if (stopping) {
            return Optional.of("stopping");
        }
        return cluster.isConfirmed(now) ? Optional.empty() : Optional.of("the table held here is not confirmed");
    }
}
