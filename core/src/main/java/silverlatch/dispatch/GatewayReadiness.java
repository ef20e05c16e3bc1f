package silverlatch.dispatch;

import java.util.Optional;

/** Decides whether this gateway accepts new requests. Used only by the dispatch event loop. */
final class GatewayReadiness {
    private final ClusterView cluster;
    private boolean stopping;

    GatewayReadiness(final ClusterView cluster) {
        this.cluster = cluster;
    }

    /** Stops accepting new requests. */
    void stopAccepting() {
        stopping = true;
    }

    /** Returns why this gateway accepts no requests, or empty if it accepts them. */
    Optional<String> unreadyReason(final long now) {
        if (stopping) {
            return Optional.of("stopping");
        }
        return cluster.isConfirmed(now) ? Optional.empty() : Optional.of("the table held here is not confirmed");
    }
}
