package silverlatch.server.controller;

import java.util.Optional;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ReplicaState;
import silverlatch.replication.ReplicaStatus;
import silverlatch.server.eventloop.EventLog;

/**
 * Whether the controller accepts writes and, if not, why. It is unready at first, is updated from the node's state after each tick, and
 * stays unready once the controller is stopping. Written by the event loop, except for {@link #markStopping()}; read by any thread.
 */
final class Readiness {
    /** A controller without a replica is ready only if its state was confirmed to be the newest within this time. */
    private static final long MAX_STATE_AGE_MICROS = 2_500_000L;

    private final String name;
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private volatile boolean isStopping;
    private volatile boolean hasLeftChain;

    /** Creates the readiness of a controller that is starting; the name identifies it in the log. */
    Readiness(final String name) {
        this.name = name;
    }

    /** Returns why the controller is not ready; empty while it is ready. */
    Optional<String> unreadyReason() {
        return unreadyReason;
    }

    /** Returns whether the replica has left the chain, so that the process may end without harm to the chain. */
    boolean hasLeftChain() {
        return hasLeftChain;
    }

    /** Makes the controller unready for good from the next update on. */
    void markStopping() {
        isStopping = true;
    }

    /** Updates the readiness from the node's state; a change is logged and set at the node. Called on the event loop. */
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
