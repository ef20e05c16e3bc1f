package silverlatch.server.controller;

import java.util.Optional;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ReplicaState;
import silverlatch.replication.ReplicaStatus;
import silverlatch.server.eventloop.EventLog;

/**
 * Whether the controller takes writes, and why not. Starts unready, follows the node from tick to tick, and is unready for good once
 * the controller stops. Written by the event loop, but for {@link #markStopping()}; read by any thread.
 */
final class Readiness {
    /** A controller without a replica is ready while its state was confirmed as the newest within this time. */
    private static final long MAX_STATE_AGE_MICROS = 2_500_000L;

    private final String name;
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private volatile boolean isStopping;
    private volatile boolean hasLeftChain;

    /** By the name under which the log shows the controller. */
    Readiness(final String name) {
        this.name = name;
    }

    /** Why the controller is not ready; empty while it is. */
    Optional<String> unreadyReason() {
        return unreadyReason;
    }

    /** Whether the process may end without harm to the chain; followed until it does. */
    boolean hasLeftChain() {
        return hasLeftChain;
    }

    /** From the next update on the controller is unready for good. */
    void markStopping() {
        isStopping = true;
    }

    /** Follows the node, and tells it and the log of a change. Called on the event loop. */
    void update(final Node node, final long now) {
        node.chainReplica().ifPresent(replica -> hasLeftChain = replica.hasLeft());
        final Optional<String> reason = reason(node, now);
        if (reason.isPresent() != unreadyReason.isPresent()) {
            EventLog.write(
                    reason.isPresent() ? Event.UNREADY : Event.READY,
                    name + reason.map(text -> ": " + text).orElse(""));
            node.setReady(reason.isEmpty());
        }
        unreadyReason = reason;
    }

    private Optional<String> reason(final Node node, final long now) {
        if (isStopping) {
            return Optional.of("stopping");
        }
        return node.chainReplica()
                .map(replica -> reason(replica.status(now)))
                .orElseGet(() -> node.gossip().stateAge(now) < MAX_STATE_AGE_MICROS
                        ? Optional.empty()
                        : Optional.of("the state held here is not confirmed"));
    }

    private static Optional<String> reason(final ReplicaStatus status) {
        return status.state() == ReplicaState.IN_CHAIN && status.isCaughtUp() && status.isLeased()
                ? Optional.empty()
                : Optional.of("the chain: " + status.state().label() + (status.isLeased() ? "" : ", no lease"));
    }
}
